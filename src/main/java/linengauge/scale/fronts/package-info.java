/**
 * Measures one real front of the operators' platform as a separate process: memory and processor
 * time per connection, set-up and delivery, on loopback with the project's stand-ins.
 */
package linengauge.scale.fronts;
