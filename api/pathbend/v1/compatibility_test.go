package pathbendv1

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
)

// production holds the descriptors of the version in production (deploy/system.toml):
// protoc -I . --include_imports --descriptor_set_out=FILE api/pathbend/v1/*.proto
const production = "testdata/production.binpb"

func descriptorsOf(t *testing.T, path string) *protoregistry.Files {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	var set descriptorpb.FileDescriptorSet
	require.NoError(t, proto.Unmarshal(content, &set))
	files, err := protodesc.NewFiles(&set)
	require.NoError(t, err)
	return files
}

// What the version in production writes is read by this one, and the other way round: no
// message, field or value of an enumeration that it knows is gone or means something else.
func TestMessagesAreCompatibleWithProduction(t *testing.T) {
	compared := 0
	descriptorsOf(t, production).RangeFiles(func(file protoreflect.FileDescriptor) bool {
		for i := range file.Messages().Len() {
			compared += compareMessage(t, file.Messages().Get(i))
		}
		for i := range file.Enums().Len() {
			compareEnum(t, file.Enums().Get(i))
		}
		return true
	})
	require.Greater(t, compared, 100, "fields compared")
}

func compareMessage(t *testing.T, before protoreflect.MessageDescriptor) (fields int) {
	t.Helper()
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(before.FullName())
	require.NoError(t, err, "message %s is gone", before.FullName())
	now, ok := found.(protoreflect.MessageDescriptor)
	require.True(t, ok, "%s is no message any more", before.FullName())
	for i := range before.Fields().Len() {
		field := before.Fields().Get(i)
		compareField(t, field, now.Fields().ByNumber(field.Number()))
	}
	for i := range before.Messages().Len() {
		fields += compareMessage(t, before.Messages().Get(i))
	}
	return fields + before.Fields().Len()
}

func compareField(t *testing.T, before, now protoreflect.FieldDescriptor) {
	t.Helper()
	require.NotNil(t, now, "field %s, number %d, is gone", before.FullName(), before.Number())
	require.Equal(t, before.Name(), now.Name(), "the number of %s has another meaning", before.FullName())
	require.Equal(t, before.Kind(), now.Kind(), "%s", before.FullName())
	require.Equal(t, before.Cardinality(), now.Cardinality(), "%s", before.FullName())
	if before.Message() != nil {
		require.Equal(t, before.Message().FullName(), now.Message().FullName(), "%s", before.FullName())
	}
	if before.ContainingOneof() != nil {
		require.NotNil(t, now.ContainingOneof(), "%s has left its oneof", before.FullName())
		require.Equal(t, before.ContainingOneof().Name(), now.ContainingOneof().Name(), "%s", before.FullName())
	}
}

func compareEnum(t *testing.T, before protoreflect.EnumDescriptor) {
	t.Helper()
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(before.FullName())
	require.NoError(t, err, "enumeration %s is gone", before.FullName())
	now, ok := found.(protoreflect.EnumDescriptor)
	require.True(t, ok, "%s is no enumeration any more", before.FullName())
	for i := range before.Values().Len() {
		value := before.Values().Get(i)
		same := now.Values().ByNumber(value.Number())
		require.NotNil(t, same, "value %s is gone", value.FullName())
		require.Equal(t, value.Name(), same.Name())
	}
}
