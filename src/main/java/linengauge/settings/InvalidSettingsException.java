package linengauge.settings;

/** What a front was told at its start cannot be used; the message names the key. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidSettingsException(String what) {
    super(what);
  }
}
