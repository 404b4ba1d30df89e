package linengauge.settings;

/** The settings of a front cannot be used; the message names the key. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidSettingsException(String problem) {
    super(problem);
  }
}
