package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.flow.ConnectionLedger;
import linengauge.flow.ListenerSettings;

/**
 * Thread-safe access to the connection ledger that the listeners share. A call takes some hundred
 * nanoseconds.
 */
final class AdmissionControl {
  private final ConnectionLedger ledger;

  AdmissionControl(ListenerSettings settings) {
    this.ledger = new ConnectionLedger(settings);
  }

  synchronized ConnectionLedger.Admission admit(String address) {
    return ledger.admit(address);
  }

  synchronized void release(String address, ConnectionLedger.Admission entry) {
    ledger.release(address, entry);
  }

  synchronized boolean allowsRequest(String key, Moment now) {
    return ledger.admitRequest(key, now);
  }

  synchronized int openConnections() {
    return ledger.served() + ledger.rejecting();
  }

  synchronized JsonObject state() {
    return new JsonObject()
        .put("served", ledger.served())
        .put("addresses", ledger.addresses())
        .put("turningAway", ledger.rejecting())
        .put("turnedAway", ledger.rejected())
        .put("shutOut", ledger.dropped())
        .put("keys", ledger.trackedKeys())
        .put("keyAsksRefused", ledger.rejectedRequests());
  }
}
