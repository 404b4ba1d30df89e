/** Least squares over measured sizes, and how far a fit may be extrapolated. Free of I/O. */
package linengauge.scale.fit;
