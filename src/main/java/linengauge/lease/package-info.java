/**
 * Membership by lease: fronts send heartbeats to a control machine of their region, the control
 * machines' replicated log carries registrations and departures in batches, and acknowledgements
 * bring every front what changed. Free of I/O, clocks and threads.
 */
package linengauge.lease;
