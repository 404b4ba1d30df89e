/**
 * Measures one real front of the operators' platform as a process: memory and processor time by
 * connection, set-up and delivery, on loopback with the project's stand-ins.
 */
package linengauge.scale.fronts;
