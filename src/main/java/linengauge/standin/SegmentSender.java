package linengauge.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;

/** Sends the segments of one stand-in box, as fast as the share of its link allows. */
final class SegmentSender {
  static final int TICK_MS = 100;

  /** The sending speed, as a multiple of the playing speed, while the link meets all demand. */
  private static final double SPEED_FACTOR = 1.25;

  /** A segment being sent; bytes are written on each tick. */
  private static final class Transmission {
    private final RunningViewing viewing;
    private final HttpServerResponse response;
    private double bytesLeft;
    private double bytesDue;

    private Transmission(RunningViewing viewing, HttpServerResponse response, double bytes) {
      this.viewing = viewing;
      this.response = response;
      this.bytesLeft = bytes;
    }
  }

  private final BoxViewings viewings;
  private final List<Transmission> transmissions = new ArrayList<>();

  SegmentSender(BoxViewings viewings) {
    this.viewings = viewings;
  }

  void send(RunningViewing viewing, HttpServerResponse response) {
    // A segment is one second long, so its bytes are those of one second at the rate.
    long bytes = Math.round(viewing.kb() * 1000);
    response
        .putHeader("Content-Type", "video/mp2t")
        .putHeader("Content-Length", Long.toString(bytes))
        .putHeader("Rung", Integer.toString(viewing.rung()));
    transmissions.add(new Transmission(viewing, response, bytes));
  }

  boolean isSending(RunningViewing viewing) {
    return transmissions.stream().anyMatch(s -> s.viewing == viewing);
  }

  void clear() {
    transmissions.clear();
  }

  /** Sends the bytes due of all segments, at the given share of their rates. */
  void tick(double share) {
    transmissions.removeIf(segment -> isOver(segment) || sendDue(segment, share));
  }

  private boolean isOver(Transmission segment) {
    if (segment.response.closed() || segment.response.ended()) {
      return true;
    }
    if (!viewings.isRunning(segment.viewing.id())) {
      segment.response.reset();
      return true;
    }
    return false;
  }

  /**
   * Sends what the link's share allows for one tick; returns true once the whole segment is sent.
   */
  private static boolean sendDue(Transmission segment, double share) {
    segment.bytesDue += segment.viewing.kb() * 1000 * share * SPEED_FACTOR * TICK_MS / 1000;
    if (segment.response.writeQueueFull()) {
      segment.bytesDue = 0; // The reader is slower than the link, so no backlog builds up.
      return false;
    }
    int bytes = (int) Math.min(segment.bytesLeft, segment.bytesDue);
    segment.bytesDue -= bytes;
    segment.bytesLeft -= bytes;
    segment.response.write(Buffer.buffer(new byte[bytes]));
    if (segment.bytesLeft < 1) {
      segment.response.end();
      return true;
    }
    return false;
  }
}
