/**
 * Measures the cost of log replication to fronts for a front and a voter, over loopback sockets.
 */
package linengauge.scale.log;
