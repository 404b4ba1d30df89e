package linengauge.platform;

import java.util.Locale;
import linengauge.Moment;
import linengauge.platform.codec.TextFormat;

/**
 * One event of a request, a connection or a server, as it is logged: ids in the platform's
 * notation, and the reason. Numbers that do not apply are {@link #NONE}.
 *
 * @param at when it happened, which may be long before its line is written
 * @param request the id of the request on the wire
 * @param server the id of the server in discovery
 * @param attempt counted from 0 for each request
 * @param connection counted from 1 over all connections to servers since the front started
 */
public record LogEvent(
    Moment at, Kind kind, long request, long server, int attempt, int connection, String reason) {
  /** The value of a number that does not apply. */
  public static final int NONE = -1;

  private static final long MICROS_PER_SECOND = 1_000_000;

  /**
   * What happened. ATTEMPT_ENDED and SESSION_ENDED: the end before and after the session was
   * established. GIVE_UP_SENT: the end of an open attempt was written to its server; END_CONFIRMED:
   * the server has shown that the attempt is over. REQUEST_FAILED: also an answer sent after its
   * deadline. CONNECTION_DIALLED, CONNECTION_UP, CONNECTION_SILENT and CONNECTION_CLOSED: of a
   * connection to a server; silent: it carries nothing any more although the server is heard.
   * SERVER_STATE: a change of one server in discovery; DISCOVERY: the journal connection and its
   * events.
   */
  public enum Kind {
    REQUEST_TAKEN,
    ATTEMPT_SENT,
    ATTEMPT_ANSWERED,
    ATTEMPT_ENDED,
    GIVE_UP_SENT,
    END_CONFIRMED,
    REQUEST_REFUSED,
    REQUEST_FAILED,
    CLIENT_LEFT,
    SESSION_ENDED,
    CONNECTION_DIALLED,
    CONNECTION_UP,
    CONNECTION_SILENT,
    CONNECTION_CLOSED,
    CLIENT_CONNECTION_CLOSED,
    SERVER_STATE,
    SERVER_LOST,
    DISCOVERY,
    SHUTDOWN
  }

  /**
   * One line of key=value pairs, without a line separator; the time is in seconds since the Unix
   * epoch.
   */
  public String line() {
    StringBuilder line = new StringBuilder(128);
    line.append("event=").append(kind.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    line.append(" at=").append(at.micros() / MICROS_PER_SECOND).append('.');
    line.append(Long.toString(MICROS_PER_SECOND + at.micros() % MICROS_PER_SECOND), 1, 7);
    if (request != NONE) {
      line.append(" request=").append(TextFormat.formatId(request));
    }
    if (server != NONE) {
      line.append(" server=").append(TextFormat.formatServerId(server));
    }
    if (attempt != NONE) {
      line.append(" attempt=").append(attempt);
    }
    if (connection != NONE) {
      line.append(" connection=").append(connection);
    }
    if (!reason.isEmpty()) {
      line.append(" reason=\"").append(reason.replace('"', '\'')).append('"');
    }
    return line.toString();
  }
}
