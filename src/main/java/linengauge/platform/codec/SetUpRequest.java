package linengauge.platform.codec;

/**
 * What a viewer asks for. Figures are ABSENT where they are not given and NONE where they are no
 * number; the time left is in milliseconds. `at` names the box where it plays already, null for a
 * new viewing.
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
