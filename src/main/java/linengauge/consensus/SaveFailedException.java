package linengauge.consensus;

/** It could not be made to last. Nothing that rests on it may be said. */
public final class SaveFailedException extends Exception {
  private static final long serialVersionUID = 1L;

  public SaveFailedException(String why, Throwable cause) {
    super(why, cause);
  }
}
