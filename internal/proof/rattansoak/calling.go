package rattansoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

const (
	// writeName and readName are the plain names of the callers' prepared statements.
	writeName = "w"
	readName  = "r"
	// variableNames is how many session variables a caller has.
	variableNames = 2
)

// A caller writes its own counter and reads all counters.
type caller struct {
	run     *run
	client  *client
	index   int
	own     *counter
	random  *rand.Rand
	awkward awkward
	// sessionValue is the value that the open session has written last.
	sessionValue int
	// names are the session's variables and prepared statements, by plain names.
	names map[string]string
}

func (r *run) newCaller(index int, random *rand.Rand, isPlain bool) *caller {
	database := []string{"checkout", "browse", "pick"}[index%3]
	return &caller{
		run: r, client: &client{fleet: r.fleet, daemon: r.fleet.randomDaemon(random), database: database},
		index: index, own: r.counters[index], random: random, awkward: awkward{random: random, isPlain: isPlain},
		names: make(map[string]string),
	}
}

// call runs operations until ctx ends.
func (c *caller) call(ctx context.Context) {
	defer c.client.close()
	for n := 1; ctx.Err() == nil; n++ {
		wasOpen := c.client.conn != nil
		c.operate(c.awkward.word(fmt.Sprintf("c%d-%d", c.index, n)), n)
		if c.client.conn == nil {
			c.sessionValue = 0
			if wasOpen || c.random.IntN(4) == 0 {
				c.client.daemon = c.run.fleet.randomDaemon(c.random)
			}
		}
		time.Sleep(callerPause)
	}
}

// operate runs one operation, whose statements have ids that begin with id.
func (c *caller) operate(id string, n int) {
	read := c.run.counters[c.random.IntN(callers)]
	switch kind := c.random.IntN(24); {
	case kind < 5:
		c.finishWrite(n, func(data string) record { return c.client.write(id, c.own.item, data) })
	case kind < 7:
		c.finishWrite(n, func(data string) record { return c.writePrepared(id, data) })
	case kind < 9:
		c.finishWrite(n, func(data string) record { return c.writeInTransaction(id, data, read) })
	case kind < 10:
		c.set(id)
	case kind < 13:
		if name, ok := c.prepare(id+".p", readName, "READ "+c.awkward.text("shape")); ok {
			c.readOne(id, "EXECUTE "+name+" "+read.item, read)
		}
	default:
		c.readOne(id, "READ "+read.item, read)
	}
}

// finishWrite writes the caller's counter and records the outcome.
func (c *caller) finishWrite(n int, write func(data string) record) {
	outcome := write(c.awkward.text(fmt.Sprintf("#%d.%d#", c.index, n)))
	c.run.record(outcome)
	if outcome.isAcknowledged {
		c.own.acknowledge(n)
		c.sessionValue = n
	}
}

// set sets a session variable. The session ends if that fails.
func (c *caller) set(id string) {
	name := c.awkward.word(fmt.Sprint("v", c.random.IntN(variableNames)))
	if len(c.client.variables) >= variableNames {
		for name = range c.client.variables {
			break
		}
	}
	c.must(id, "SET "+name+" "+c.awkward.text("value"))
}

// must runs a statement, and closes the session if that fails.
func (c *caller) must(id, text string) bool {
	got, err := c.client.query(id, text)
	if err == nil && !got.isSuccess() {
		c.client.close()
	}
	return err == nil && got.isSuccess()
}

// prepare returns the name of a prepared statement, which it prepares once for a session.
func (c *caller) prepare(id, plainName, template string) (string, bool) {
	if name := c.names[plainName]; name != "" && c.client.conn != nil && c.client.templates[name] != "" {
		return name, true
	}
	name := c.awkward.word(plainName)
	c.names[plainName] = name
	return name, c.must(id, "PREPARE "+name+" "+template)
}

func (c *caller) writePrepared(id, data string) record {
	name, ok := c.prepare(id+".p", writeName, "WRITE "+c.awkward.text("shape"))
	if !ok {
		return record{data: data, isUncommitted: true}
	}
	got, err := c.client.query(id, "EXECUTE "+name+" "+c.own.item+" "+data)
	return outcomeOf(data, got, err)
}

// writeInTransaction writes data, at times with a rollback.
func (c *caller) writeInTransaction(id, data string, read *counter) record {
	last := "COMMIT"
	if c.random.IntN(6) == 0 {
		last = "ROLLBACK"
	}
	var outcome record
	for i, text := range []string{"BEGIN", "READ " + read.item, "WRITE " + c.own.item + " " + data, last} {
		got, err := c.client.query(fmt.Sprintf("%s.%d", id, i), text)
		outcome = outcomeOf(data, got, err)
		outcome.isUncommitted = text != "COMMIT"
		if !outcome.isAcknowledged {
			break
		}
	}
	if c.client.transaction != "" {
		c.client.close()
	}
	outcome.isAcknowledged = outcome.isAcknowledged && last == "COMMIT"
	return outcome
}

// readOne reads a counter and checks the value against the guarantee of the route:
// no acknowledged write may be missing, except for the staleness that the route
// allows. Within a session, the pick route also returns the session's own writes.
func (c *caller) readOne(id, text string, read *counter) {
	begun, database := time.Now(), c.client.database
	minimum := read.newestBefore(begun)
	if database != "checkout" {
		minimum = read.newestBefore(begun.Add(-maxStaleness))
	}
	if read == c.own && database == "pick" && c.client.conn != nil {
		minimum = max(minimum, c.sessionValue)
	}
	got, err := c.client.query(id, text)
	if err != nil || !got.isSuccess() || len(got.rows) != 1 {
		return
	}
	c.run.countRead()
	data := strings.TrimPrefix(got.rows[0], "ROW ")
	value, ok := counterValue(data)
	if !ok {
		c.run.reportViolation("MIXED: read %q of %q returned %q", id, read.item, data)
	}
	if value < minimum {
		c.run.recordLowRead(lowRead{
			data: data,
			text: fmt.Sprintf("STALE: read %q of %q on %s at %s returned %d, at least %d was acknowledged", id, read.item, database, c.client.daemon.name, value, minimum),
		})
	}
}

// counterValue returns the number in the data of a counter; "none" is 0.
func counterValue(data string) (int, bool) {
	if data == "none" {
		return 0, true
	}
	parts := strings.Split(data, "#")
	if len(parts) != 3 {
		return 0, false
	}
	_, number, _ := strings.Cut(parts[1], ".")
	value, err := strconv.Atoi(number)
	return value, err == nil
}

// A lowRead is a read that returned less than the minimum value that the guarantee of
// its route allows. data identifies the write whose value was read.
type lowRead struct {
	data, text string
}

func (r *run) recordLowRead(read lowRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lowReads = append(r.lowReads, read)
}

func (r *run) countRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Reads++
}

// checkReads reports low reads as violations unless the value is that of a write with
// an unknown outcome. Such a write may take effect after later ones, for example if
// the daemon that was about to run it was suspended.
func (r *run) checkReads() {
	hasUnknownOutcome := make(map[string]bool)
	for _, outcome := range r.records {
		hasUnknownOutcome[outcome.data] = !outcome.isAcknowledged && !outcome.isRefused
	}
	for _, read := range r.lowReads {
		if !hasUnknownOutcome[read.data] {
			r.reportViolation("%s", read.text)
		}
	}
}
