package main

// Point is one measured value at one size.
type Point struct {
	Measure string  `json:"measure"`
	Size    float64 `json:"size"`
	Per     string  `json:"per"` // unit of Size
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
}

// Line is the least-squares line through the points of a measure.
type Line struct {
	Fixed float64 // value at size 0
	Slope float64 // value per unit of size
}

// Recorder stores the points of a measurement.
type Recorder interface {
	// Record stores one point.
	Record(p Point) error
}
