package membership

// Collector is a Receiver that collects the members of a list in memory and passes the list to OnList at its end. It
// is meant for short lists.
type Collector struct {
	List
	OnList func(*List)
}

// Entry implements Receiver.
func (c *Collector) Entry(e *Entry, _ bool) error {
	c.Members = append(c.Members, Member{ID: string(e.ID), HostPort: string(e.HostPort), Locality: string(e.Locality),
		Flavor: string(e.Flavor), Cell: int(e.Dest), Phase: e.Phase.String(), Size: e.Rate})
	return nil
}

// End implements Receiver.
func (c *Collector) End(revision int64, complete bool) {
	c.Revision, c.Complete = revision, complete
	c.OnList(&c.List)
}

// Abort implements Receiver.
func (c *Collector) Abort() {}
