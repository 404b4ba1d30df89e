package linengauge.standin;

/** A viewing that a stand-in box runs. */
final class RunningViewing {
  private final String id;
  private final String title;
  private final String packageName;
  private int rung;
  private double kb;
  private long lastRequestAt;

  RunningViewing(String id, String title, String packageName, int rung, double kb) {
    this.id = id;
    this.title = title;
    this.packageName = packageName;
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
  String packageName() {
    return packageName;
  }

  int rung() {
    return rung;
  }

  /** Returns the rate in kB per second. */
  double kb() {
    return kb;
  }

  void changeTo(int newRung, double newKb) {
    rung = newRung;
    kb = newKb;
  }

  /** Renews the lease when the viewer requests something. */
  void renewLease() {
    lastRequestAt = System.currentTimeMillis();
  }

  /** Returns the time of the last request in epoch milliseconds. */
  long lastRequestAt() {
    return lastRequestAt;
  }
}
