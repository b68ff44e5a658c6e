package membership

// Collector is a Receiver that puts a list together as it is read and hands it on at
// its end. It is for those whose lists are short.
type Collector struct {
	List
	News func(*List)
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
	c.News(&c.List)
}

// Abort implements Receiver.
func (c *Collector) Abort() {}
