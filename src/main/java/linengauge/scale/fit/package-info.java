/** Least-squares fits over measured sizes and limits on their extrapolation; performs no I/O. */
package linengauge.scale.fit;
