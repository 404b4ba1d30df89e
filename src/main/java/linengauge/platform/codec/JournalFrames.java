package linengauge.platform.codec;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import linengauge.Moment;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;

/**
 * Frames of the journal service (docs/protocol/platform.md, "The journal service"): events of the
 * box list, numbered. One reader a connection; an event that has not come whole is not told.
 */
public final class JournalFrames {
  private static final int RECORD = 27;
  private static final int HEAD = 9;
  private static final int MOST = HEAD + RECORD * 8192;

  /** What the connection tells; nothing new is a sign of life alone. */
  public interface Heard {
    void event(long number, boolean whole, List<ListedBox> rows);
  }

  private final Heard heard;
  private byte[] part = new byte[0];

  public JournalFrames(Heard heard) {
    this.heard = heard;
  }

  /** The number of the last event held: what a front writes first. */
  public static byte[] from(long last) {
    return ByteBuffer.allocate(8).putLong(last).array();
  }

  /** Reads on; returns how many frames ended. Throws at a frame that cannot be one. */
  public int feed(byte[] data) throws BadMessage {
    int ended = 0;
    byte[] all = data;
    if (part.length > 0) {
      all = Arrays.copyOf(part, part.length + data.length);
      System.arraycopy(data, 0, all, part.length, data.length);
    }
    int at = 0;
    while (all.length - at >= 4) {
      int length = ByteBuffer.wrap(all, at, 4).getInt();
      if (length < HEAD || length > MOST) {
        throw new BadMessage("a frame of " + length + " bytes");
      }
      if (all.length - at < 4 + length) {
        break;
      }
      frame(ByteBuffer.wrap(all, at + 4, length));
      ended++;
      at += 4 + length;
    }
    part = Arrays.copyOfRange(all, at, all.length);
    return ended;
  }

  private void frame(ByteBuffer f) throws BadMessage {
    long number = f.getLong();
    int kind = f.get();
    if (kind == 0) {
      return;
    }
    if (kind != 1 && kind != 2 || f.remaining() % RECORD != 0 || number <= 0) {
      throw new BadMessage("a frame of kind " + kind + " with " + f.remaining() + " bytes");
    }
    List<ListedBox> rows = new ArrayList<>();
    while (f.hasRemaining()) {
      rows.add(record(f));
    }
    heard.event(number, kind == 1, rows);
  }

  private static ListedBox record(ByteBuffer f) throws BadMessage {
    long id = f.getInt() & 0xffffffffL;
    String address =
        (f.get() & 0xff)
            + "."
            + (f.get() & 0xff)
            + "."
            + (f.get() & 0xff)
            + "."
            + (f.get() & 0xff)
            + ":"
            + (f.getShort() & 0xffff);
    int state = f.get();
    int building = f.get() & 0xff;
    int kind = f.get() & 0xff;
    int cell = f.getShort() & 0xffff;
    double weight = f.getInt() / 1000.0;
    long started = f.getLong();
    if (state < 0 || state > 2) {
      throw new BadMessage("a box in state " + state);
    }
    return new ListedBox(
        id,
        address,
        weight,
        cell,
        kind,
        BoxTable.State.values()[state],
        building,
        startedAt(started));
  }

  /** From Unix milliseconds; 0: long ago. */
  public static Moment startedAt(long unixMs) {
    return unixMs <= 0 ? Moment.DISTANT_PAST : new Moment(unixMs * 1000);
  }
}
