package linengauge.standin;

/** A viewing that a stand-in box runs. */
final class RunningViewing {
  private final String id;
  private final String title;
  private final String pack;
  private int rung;
  private double kb;
  private long lastRequestAt;

  RunningViewing(String id, String title, String pack, int rung, double kb) {
    this.id = id;
    this.title = title;
    this.pack = pack;
    this.rung = rung;
    this.kb = kb;
    renewLease();
  }

  String id() {
    return id;
  }

  String title() {
    return title;
  }

  /** The package in which the title is sent. */
  String pack() {
    return pack;
  }

  int rung() {
    return rung;
  }

  /** Its rate, in kB a second. */
  double kb() {
    return kb;
  }

  void changeTo(int newRung, double newKb) {
    rung = newRung;
    kb = newKb;
  }

  /** Its viewer asks for something now: the lease begins anew. */
  void renewLease() {
    lastRequestAt = System.currentTimeMillis();
  }

  /** Epoch milliseconds of the last request for it. */
  long lastRequestAt() {
    return lastRequestAt;
  }
}
