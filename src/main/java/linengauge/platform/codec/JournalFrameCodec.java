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
  private static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = 9;
  private static final int MAX_FRAME_BYTES = HEADER_BYTES + RECORD_BYTES * 8192;

  private static final int KIND_HEARTBEAT = 0;
  private static final int KIND_FULL = 1;
  private static final int KIND_CHANGES = 2;

  /**
   * Receives the events of one connection. Frames that only serve as heartbeat are not delivered.
   */
  public interface Handler {
    void onEvent(long number, boolean whole, List<ListedBox> rows);
  }

  private final Handler handler;

  /** The frame that is being received; of the size of its length field until that is complete. */
  private byte[] frame = new byte[LENGTH_BYTES];

  private int received;

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
    int position = 0;
    while (position < data.length) {
      int count = Math.min(frame.length - received, data.length - position);
      System.arraycopy(data, position, frame, received, count);
      received += count;
      position += count;
      if (received == LENGTH_BYTES) {
        frame = Arrays.copyOf(frame, LENGTH_BYTES + decodeLength());
      } else if (received == frame.length) {
        decodeFrame(ByteBuffer.wrap(frame, LENGTH_BYTES, frame.length - LENGTH_BYTES));
        frame = new byte[LENGTH_BYTES];
        received = 0;
        completed++;
      }
    }
    return completed;
  }

  private int decodeLength() throws MalformedMessageException {
    int length = ByteBuffer.wrap(frame).getInt();
    if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
      throw new MalformedMessageException("invalid frame length of " + length + " bytes");
    }
    return length;
  }

  /** Whether a frame has been received in part. */
  public boolean hasPartialFrame() {
    return received > 0;
  }

  /**
   * The number of the event that has been received in part; 0 if there is none, as far as known.
   */
  public long partialEventNumber() {
    if (received < LENGTH_BYTES + HEADER_BYTES) {
      return 0;
    }
    ByteBuffer header = ByteBuffer.wrap(frame, LENGTH_BYTES, HEADER_BYTES);
    long number = header.getLong();
    return header.get() == KIND_HEARTBEAT ? 0 : number;
  }

  private void decodeFrame(ByteBuffer frame) throws MalformedMessageException {
    long number = frame.getLong();
    int kind = frame.get();
    if (kind == KIND_HEARTBEAT) {
      return;
    }
    if (kind != KIND_FULL && kind != KIND_CHANGES
        || frame.remaining() % RECORD_BYTES != 0
        || number <= 0) {
      throw new MalformedMessageException(
          "invalid frame of kind " + kind + " with " + frame.remaining() + " bytes");
    }
    List<ListedBox> rows = new ArrayList<>();
    while (frame.hasRemaining()) {
      rows.add(decodeRecord(frame));
    }
    handler.onEvent(number, kind == KIND_FULL, rows);
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
