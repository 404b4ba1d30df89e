/** Membership by lease over UDP: the nodes that run on fronts and on control machines. */
package linengauge.lease.udp;
