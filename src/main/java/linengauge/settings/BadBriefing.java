package linengauge.settings;

/** What a front was told at its start cannot be used; the message names the key. */
public final class BadBriefing extends Exception {
  private static final long serialVersionUID = 1L;

  public BadBriefing(String what) {
    super(what);
  }
}
