package linengauge.front;

import io.vertx.core.json.JsonObject;
import linengauge.Moment;
import linengauge.flow.DoorBook;
import linengauge.flow.DoorTerms;

/** The door's book, shared by the loops: one call at a time, each of some hundred nanoseconds. */
final class AdmissionControl {
  private final DoorBook book;

  AdmissionControl(DoorTerms terms) {
    this.book = new DoorBook(terms);
  }

  synchronized DoorBook.Entry enters(String address) {
    return book.enters(address);
  }

  synchronized void leaves(String address, DoorBook.Entry entry) {
    book.leaves(address, entry);
  }

  synchronized boolean asks(String key, Moment now) {
    return book.asks(key, now);
  }

  synchronized int served() {
    return book.served() + book.turningAway();
  }

  synchronized JsonObject state() {
    return new JsonObject()
        .put("served", book.served())
        .put("addresses", book.addresses())
        .put("turningAway", book.turningAway())
        .put("turnedAway", book.turnedAway())
        .put("shutOut", book.shutOut())
        .put("keys", book.keysRemembered())
        .put("keyAsksRefused", book.asksRefused());
  }
}
