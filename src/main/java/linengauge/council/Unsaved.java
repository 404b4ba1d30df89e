package linengauge.council;

/** It could not be made to last. Nothing that rests on it may be said. */
public final class Unsaved extends Exception {
  private static final long serialVersionUID = 1L;

  public Unsaved(String why, Throwable cause) {
    super(why, cause);
  }
}
