/** Membership by lease over UDP: the carrier of fronts and of control machines. */
package linengauge.lease.udp;
