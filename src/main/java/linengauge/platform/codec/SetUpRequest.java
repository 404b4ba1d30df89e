package linengauge.platform.codec;

/**
 * A client's request to set a session up. The time that the client still waits is -1 if it is not
 * given or not a number. The other figures are {@link #ABSENT} if they are not given and {@link
 * #INVALID} if they are not numbers. The server name identifies the server at which a session that
 * is handed over already runs; it is null for a new session.
 */
public record SetUpRequest(
    String packageName,
    long timeLeftMs,
    String title,
    long firstCell,
    long cellsInRow,
    long ceiling,
    String serverName,
    String description) {
  public static final long ABSENT = -1;
  public static final long INVALID = -2;
}
