package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.flow.ConnectionLedger;
import linengauge.flow.ListenerSettings;

/** The door's book, shared by the loops: one call at a time, each of some hundred nanoseconds. */
final class Gate {
  private final ConnectionLedger book;

  Gate(ListenerSettings terms) {
    this.book = new ConnectionLedger(terms);
  }

  synchronized ConnectionLedger.Admission enters(String address) {
    return book.admit(address);
  }

  synchronized void leaves(String address, ConnectionLedger.Admission entry) {
    book.release(address, entry);
  }

  synchronized boolean asks(String key, Moment now) {
    return book.admitRequest(key, now);
  }

  synchronized int served() {
    return book.served() + book.rejecting();
  }

  synchronized JsonObject state() {
    return new JsonObject()
        .put("served", book.served())
        .put("addresses", book.addresses())
        .put("turningAway", book.rejecting())
        .put("turnedAway", book.rejected())
        .put("shutOut", book.dropped())
        .put("keys", book.trackedKeys())
        .put("keyAsksRefused", book.rejectedRequests());
  }
}
