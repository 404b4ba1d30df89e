package linengauge.platform.codec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import linengauge.Moment;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;

/**
 * Encodes and decodes the frames of the journal service (docs/protocol/platform.md, "The journal
 * service"), which carry the numbered events of the server list. Each connection has a decoder of
 * its own. Only complete events are delivered.
 */
public final class JournalFrameCodec {
  private static final int RECORD_BYTES = 27;
  private static final int HEADER_BYTES = 9;
  private static final int MAX_FRAME_BYTES = HEADER_BYTES + RECORD_BYTES * 8192;

  /**
   * Receives the events of one connection. Frames that only serve as heartbeat are not delivered.
   */
  public interface Handler {
    void onEvent(long number, boolean whole, List<ListedBox> rows);
  }

  private final Handler handler;
  private byte[] partialFrame = new byte[0];

  public JournalFrameCodec(Handler handler) {
    this.handler = handler;
  }

  /** Encodes the number of the last event received, which is the first thing a front sends. */
  public static byte[] encodeResumePosition(long lastEvent) {
    return ByteBuffer.allocate(8).putLong(lastEvent).array();
  }

  /**
   * Decodes the next bytes of the connection and returns how many frames were completed.
   *
   * @throws MalformedMessageException at the first frame that is malformed
   */
  public int feed(byte[] data) throws MalformedMessageException {
    int completed = 0;
    byte[] received = data;
    if (partialFrame.length > 0) {
      received = Arrays.copyOf(partialFrame, partialFrame.length + data.length);
      System.arraycopy(data, 0, received, partialFrame.length, data.length);
    }
    int position = 0;
    while (received.length - position >= 4) {
      int length = ByteBuffer.wrap(received, position, 4).getInt();
      if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
        throw new MalformedMessageException("invalid frame length of " + length + " bytes");
      }
      if (received.length - position < 4 + length) {
        break;
      }
      decodeFrame(ByteBuffer.wrap(received, position + 4, length));
      completed++;
      position += 4 + length;
    }
    partialFrame = Arrays.copyOfRange(received, position, received.length);
    return completed;
  }

  /** Kind 0 is a heartbeat, 1 carries the full server list, 2 carries changes of it. */
  private void decodeFrame(ByteBuffer frame) throws MalformedMessageException {
    long number = frame.getLong();
    int kind = frame.get();
    if (kind == 0) {
      return;
    }
    if (kind != 1 && kind != 2 || frame.remaining() % RECORD_BYTES != 0 || number <= 0) {
      throw new MalformedMessageException(
          "invalid frame of kind " + kind + " with " + frame.remaining() + " bytes");
    }
    List<ListedBox> rows = new ArrayList<>();
    while (frame.hasRemaining()) {
      rows.add(decodeRecord(frame));
    }
    handler.onEvent(number, kind == 1, rows);
  }

  private static ListedBox decodeRecord(ByteBuffer frame) throws MalformedMessageException {
    long id = frame.getInt() & 0xffffffffL;
    String address =
        (frame.get() & 0xff)
            + "."
            + (frame.get() & 0xff)
            + "."
            + (frame.get() & 0xff)
            + "."
            + (frame.get() & 0xff)
            + ":"
            + (frame.getShort() & 0xffff);
    int state = frame.get();
    int building = frame.get() & 0xff;
    int kind = frame.get() & 0xff;
    int cell = frame.getShort() & 0xffff;
    double weight = frame.getInt() / 1000.0;
    long started = frame.getLong();
    if (state < 0 || state > 2) {
      throw new MalformedMessageException("invalid server state " + state);
    }
    return new ListedBox(
        id,
        address,
        weight,
        cell,
        kind,
        BoxTable.State.values()[state],
        building,
        bootTime(started));
  }

  /** Converts Unix milliseconds; 0 means that the server started long ago. */
  public static Moment bootTime(long unixMs) {
    return unixMs <= 0 ? Moment.DISTANT_PAST : new Moment(unixMs * 1000);
  }
}
