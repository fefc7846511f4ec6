package routing

// seededRandom is this router's source of randomness. It is stateless: a seed always gives the same numbers.
type seededRandom struct{ seed uint64 }

// uniform returns a number in [0,1) that depends only on the seed, the request ID and the salt.
func (s seededRandom) uniform(id RequestID, salt string) float64 {
	x := s.seed ^ uint64(id)*0x9e3779b97f4a7c15
	for i := 0; i < len(salt); i++ {
		x = (x ^ uint64(salt[i])) * 0x100000001b3
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// hashToUnit returns a number in (0,1) that is the same in every router: an FNV-1a hash with a finalizer.
func hashToUnit(text, name string) float64 {
	x := uint64(14695981039346656037)
	for _, s := range [2]string{text, name} {
		for i := 0; i < len(s); i++ {
			x = (x ^ uint64(s[i])) * 0x100000001b3
		}
		x = (x ^ x>>32) * 0xbf58476d1ce4e5b9
	}
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
