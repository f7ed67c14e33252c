package link

const (
	// maxBytesPerByte is how many bytes a byte of a string takes at most in a message.
	maxBytesPerByte = 6
	// maxRunBytes is how many bytes a run takes at most besides its name, and maxStartBytes a start besides its strings.
	maxRunBytes   = 64
	maxStartBytes = 320
)

// Split returns the orders as messages of at most a number of bytes, or of one start. A stop is in no earlier message than a start.
func (o Orders) Split(maxBytes int) []Orders {
	var parts []Orders
	bytes := 0
	// next begins another message unless the present one has space.
	next := func(size int) *Orders {
		if len(parts) == 0 || bytes+size > maxBytes {
			part := o
			part.Starts, part.Stops, part.Texts = nil, nil, make(map[string]string)
			parts, bytes = append(parts, part), 0
		}
		bytes += size
		return &parts[len(parts)-1]
	}
	for _, s := range o.Starts {
		name := s.jobName()
		text := o.Texts[name]
		part := next(s.maxBytes() + maxRunBytes + maxBytesPerByte*(len(name)+len(text)))
		part.Starts = append(part.Starts, s)
		part.Texts[name] = text
	}
	for _, r := range o.Stops {
		part := next(maxRunBytes + maxBytesPerByte*len(r.Task))
		part.Stops = append(part.Stops, r)
	}
	return parts
}

func (s Start) maxBytes() int {
	return maxStartBytes + maxBytesPerByte*(len(s.Task)+len(s.Image)+len(s.Checkpoint)+len(s.Ticket))
}

// jobName returns the name of the job of a start, by which the orders have its text.
func (s Start) jobName() string {
	id, _ := s.TaskID()
	return string(id.Job)
}
