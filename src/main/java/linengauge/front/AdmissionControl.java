package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.flow.DoorBook;
import linengauge.flow.DoorTerms;

/**
 * Thread-safe access to the connection ledger that the listeners share. A call takes some hundred
 * nanoseconds.
 */
final class AdmissionControl {
  private final DoorBook ledger;

  AdmissionControl(DoorTerms settings) {
    this.ledger = new DoorBook(settings);
  }

  synchronized DoorBook.Entry admit(String address) {
    return ledger.enters(address);
  }

  synchronized void release(String address, DoorBook.Entry entry) {
    ledger.leaves(address, entry);
  }

  synchronized boolean allowsRequest(String key, Moment now) {
    return ledger.asks(key, now);
  }

  synchronized int openConnections() {
    return ledger.served() + ledger.turningAway();
  }

  synchronized JsonObject state() {
    return new JsonObject()
        .put("served", ledger.served())
        .put("addresses", ledger.addresses())
        .put("turningAway", ledger.turningAway())
        .put("turnedAway", ledger.turnedAway())
        .put("shutOut", ledger.shutOut())
        .put("keys", ledger.keysRemembered())
        .put("keyAsksRefused", ledger.asksRefused());
  }
}
