package bench

import "time"

// service is a fake of a plain service. Its workers serve requests in arrival
// order.
type service struct {
	w           *world
	zone        int
	workers     int
	slowdown    float64 // factor on service times; 1 is full speed
	busyWorkers int
	queue       []*job
}

func (s *service) submit(j *job) {
	j.atService = true
	s.queue = append(s.queue, j)
	s.startNext()
}

// cancel removes a queued request. A running request occupies its worker until
// its end, because a plain service does not detect that the client has
// disconnected.
func (s *service) cancel(j *job) {
	for i, q := range s.queue {
		if q == j {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *service) startNext() {
	for s.busyWorkers < s.workers && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.busyWorkers++
		run := j.runSeq
		s.w.clk.after(time.Duration(float64(j.serviceTime)*s.slowdown), func() {
			s.busyWorkers--
			if j.runSeq == run {
				s.w.token(j, false)
				s.w.answered(j)
			}
			s.startNext()
		})
	}
}

func (s *service) currentLoad() targetLoad {
	return targetLoad{at: s.w.clk.now, running: s.busyWorkers, waiting: len(s.queue)}
}

func (s *service) up() bool { return true }
