package rattanupstream

import (
	"strconv"

	"github.com/pkg/errors"

	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// SetupRequests returns the requests that set a session's variables on the
// connection. If a variable of another session is set on it, the connection is reset
// first, which drops its prepared statements too.
func (c *PooledConn) SetupRequests(sessionVars map[string]string) []rattanstatement.Request {
	var setup []rattanstatement.Request
	for name := range c.sessionVars {
		if _, ok := sessionVars[name]; !ok {
			setup = append(setup, rattanstatement.Request{Kind: rattanstatement.Reset})
			c.sessionVars, c.prepared = nil, nil
			break
		}
	}
	for name, value := range sessionVars {
		if known, ok := c.sessionVars[name]; ok && known == value {
			continue
		}
		if c.sessionVars == nil {
			c.sessionVars = make(map[string]string, len(sessionVars))
		}
		c.sessionVars[name] = value
		setup = append(setup, rattanstatement.Request{Kind: rattanstatement.Set, Name: name, Argument: value})
	}
	return setup
}

// Prepare returns the name of a prepared statement on this connection, with the
// request that prepares it unless it is prepared already. Sessions whose statements
// have the same access and text share the name.
func (c *PooledConn) Prepare(prepared PreparedStatement) (string, []rattanstatement.Request) {
	if name, ok := c.prepared[prepared]; ok {
		return name, nil
	}
	if c.prepared == nil {
		c.prepared = make(map[PreparedStatement]string)
	}
	name := "p" + strconv.Itoa(len(c.prepared)+1)
	c.prepared[prepared] = name
	return name, []rattanstatement.Request{{
		Kind: rattanstatement.Prepare, Name: name, Access: prepared.Access, Argument: prepared.Text,
	}}
}

// prepareFor runs the setup of a statement.
func (c *PooledConn) prepareFor(setup []rattanstatement.Request) error {
	if err := c.conn.Send(setup...); err != nil {
		return err
	}
	if err := c.receiveSetup(setup); err != nil {
		return err
	}
	if err := c.confirmSetup(setup[len(setup)-1]); err != nil {
		return err
	}
	if c.conn.hasSurplus() {
		return errSurplus
	}
	return nil
}

// confirmSetup sends the last setup request once more if its answer may be that to an earlier
// one: the error of a refused one arrives now. A refused PREPARE shows itself.
func (c *PooledConn) confirmSetup(last rattanstatement.Request) error {
	if !c.conn.answers.IsTentative() || last.Kind == rattanstatement.Prepare {
		return nil
	}
	if err := c.conn.Send(last); err != nil {
		return err
	}
	return c.receiveSetup([]rattanstatement.Request{last})
}

func (c *PooledConn) receiveSetup(setup []rattanstatement.Request) error {
	for _, request := range setup {
		result, err := c.conn.receive(request)
		if err != nil {
			return err
		}
		if !result.OK() {
			return errors.Wrap(errSetupRefused, result.Code.String())
		}
	}
	return nil
}
