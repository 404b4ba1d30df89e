/**
 * Hollow fronts: the control parts of a front alone, hundreds in a process, over real sockets on
 * loopback, to measure what membership costs a fleet of some size.
 */
package linengauge.scale.hollow;
