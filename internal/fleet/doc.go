// Package fleet tracks the engines and back ends of the platform and balances
// work over them.
//
// Fleet wraps routing.Table with a lock and feeds it: the machine list, which
// lags, load reports that it polls from engines, and what attempts reveal. What
// an endpoint itself or a peer says about leaving takes effect at once and is
// never undone by an older list.
package fleet
