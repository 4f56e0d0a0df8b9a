package rattansettings

import "time"

// DefaultRoute is the route of requests that do not name one.
const DefaultRoute = "default"

// maxRouteAge limits the age of stale reads. The wire protocol carries the age in
// milliseconds as a number of 32 bits.
const maxRouteAge = time.Hour

// A Route is a named kind of request within a service.
type Route struct {
	name          string
	service       string
	open          bool
	maxAge        time.Duration
	clientAccount string
}

func readRoute(r *sectionReader, team, service, name string) Route {
	route := Route{
		name:          name,
		service:       fullName(team, service),
		open:          r.boolean("open", false),
		maxAge:        r.duration("max_age", 0, maxRouteAge, 0),
		clientAccount: fullName(team, r.nameValue("client_account", false)),
	}
	if _, found := r.values["client_account"]; found != route.open {
		r.addError("client_account", "the key is required with open = true and not allowed without it",
			"the client account of an open route, and none on other routes")
	}
	if route.maxAge%time.Millisecond != 0 {
		r.addError("max_age", "finer than a millisecond", "whole milliseconds")
	}
	return route
}

// Name returns the route's name within its service.
func (r Route) Name() string { return r.name }

// Service returns the full name of the route's service.
func (r Route) Service() string { return r.service }

// Open reports whether requests of the route are accepted without a key.
func (r Route) Open() bool { return r.open }

// MaxAge returns the maximum age of the data that reads return, in whole
// milliseconds. 0 means that the age is not limited and that reads depend on the
// session's position instead.
func (r Route) MaxAge() time.Duration { return r.maxAge }

// ClientAccount returns the full name of the client account that requests without a
// key belong to. It is empty unless the route is open.
func (r Route) ClientAccount() string { return r.clientAccount }
