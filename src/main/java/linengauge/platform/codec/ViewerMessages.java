package linengauge.platform.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Viewers' binary messages (docs/protocol/platform.md, "Viewers"). One reader a connection: it is
 * fed what comes, in pieces of any size, and calls {@link Heard}. It stores what came last and the
 * beginning of one message, and none whose length passes the bound.
 */
public final class ViewerMessages {
  /** Bytes of a whole message at the most. */
  public static final int MOST = 16 * 1024;

  /** Type and id. */
  private static final int LEAST = 9;

  private static final int SET_UP = 1;
  private static final int ANSWER = 9;
  private static final int END = 12;
  private static final int HEARD = 16;
  private static final int TEST = 52;
  private static final int TESTED = 53;
  private static final int PACKAGE = 33;
  private static final int LEFT = 35;
  private static final int TITLE = 41;
  private static final int FIGURES = 43;
  private static final int COME_BACK = 45;
  private static final int CAUSE = 61;
  private static final int DESCRIPTION = 63;

  /** What one connection says; `unfit`: a message that can be read and cannot be used. */
  public interface Heard {
    void setUp(long id, SetUpForm form);

    void ended(long id, int cause);

    void test(long id);

    void unfit(long id, String why);
  }

  private final Heard heard;

  /**
   * What has come and has not been read: from `at` on. Whoever feeds bounds it: no more comes while
   * messages wait here.
   */
  private byte[] come = new byte[0];

  private int at;

  public ViewerMessages(Heard heard) {
    this.heard = heard;
  }

  /** A message has begun and not ended. */
  public boolean isMidMessage() {
    return at < come.length;
  }

  /** Bytes that have come and have not been read. */
  public int unread() {
    return come.length - at;
  }

  /** Keeps what has come, to be read by {@link #poll}. */
  public void take(byte[] data) {
    if (at == come.length) {
      come = data;
    } else {
      byte[] all = Arrays.copyOfRange(come, at, come.length + data.length);
      System.arraycopy(data, 0, all, come.length - at, data.length);
      come = all;
    }
    at = 0;
  }

  /** One whole message as it came, not looked into beyond its type and id. */
  public static final class Message {
    private final int type;
    private final long id;
    private final byte[] bytes;
    private final int from;
    private final int length;

    private Message(byte[] bytes, int from, int length) {
      ByteBuffer head = ByteBuffer.wrap(bytes, from, length);
      this.type = head.get() & 0xff;
      this.id = head.getLong();
      this.bytes = bytes;
      this.from = from;
      this.length = length;
    }

    public long id() {
      return id;
    }

    public int length() {
      return length;
    }

    public boolean isSetUp() {
      return type == SET_UP;
    }

    /** The release of a session was heard. */
    public boolean isHeard() {
      return type == HEARD;
    }

    /** A set-up of what plays already: its figures name a server. */
    public boolean isHandOver() {
      ByteBuffer m = ByteBuffer.wrap(bytes, from + LEAST, length - LEAST);
      while (type == SET_UP && m.remaining() >= 3) {
        int code = m.get() & 0xff;
        int size = m.getShort() & 0xffff;
        if (size > m.remaining()) {
          return false;
        }
        if (code == FIGURES) {
          String figures = new String(bytes, m.position(), size, StandardCharsets.ISO_8859_1);
          return figures.startsWith("at:") || figures.contains(";at:");
        }
        m.position(m.position() + size);
      }
      return false;
    }

    /** The same, apart from what came with it. */
    public Message kept() {
      return new Message(Arrays.copyOfRange(bytes, from, from + length), 0, length);
    }
  }

  /**
   * The next message that has come whole, or null. Throws where bytes cannot be messages: the
   * connection is of no further use.
   */
  public Message frame() throws BadMessage {
    if (come.length - at < 2) {
      return null;
    }
    int length = (come[at] & 0xff) << 8 | come[at + 1] & 0xff;
    if (length < LEAST || length + 2 > MOST) {
      throw new BadMessage("a message of " + length + " bytes");
    }
    if (come.length - at < 2 + length) {
      return null;
    }
    Message m = new Message(come, at + 2, length);
    at += 2 + length;
    if (at == come.length) {
      come = new byte[0];
      at = 0;
    }
    return m;
  }

  /** Looks into a message and tells what it says. */
  public void read(Message m) throws BadMessage {
    message(ByteBuffer.wrap(m.bytes, m.from, m.length));
  }

  /** Reads one message; false where none has come whole. */
  public boolean next() throws BadMessage {
    Message m = frame();
    if (m != null) {
      read(m);
    }
    return m != null;
  }

  /** Takes it and reads on; returns how many messages ended. */
  public int feed(byte[] data) throws BadMessage {
    take(data);
    int ended = 0;
    while (next()) {
      ended++;
    }
    return ended;
  }

  private void message(ByteBuffer m) throws BadMessage {
    int type = m.get() & 0xff;
    long id = m.getLong();
    Map<Integer, byte[]> given = new HashMap<>();
    while (m.hasRemaining()) {
      if (m.remaining() < 3) {
        throw new BadMessage("a parameter cut off");
      }
      int code = m.get() & 0xff;
      int length = m.getShort() & 0xffff;
      if (length > m.remaining()) {
        throw new BadMessage("a parameter longer than its message");
      }
      byte[] value = new byte[length];
      m.get(value);
      if (given.put(code, value) != null) {
        heard.unfit(id, "a parameter twice");
        return;
      }
    }
    switch (type) {
      case SET_UP -> setUp(id, given);
      case END -> {
        byte[] cause = given.get(CAUSE);
        heard.ended(id, cause != null && cause.length == 1 ? cause[0] & 0xff : 0);
      }
      case TEST -> heard.test(id);
      default -> {
        // progress, releases heard and notes want nothing
      }
    }
  }

  private void setUp(long id, Map<Integer, byte[]> given) {
    String pack = Texts.plain(given.get(PACKAGE), 64);
    String left = Texts.plain(given.get(LEFT), 18);
    String title = Texts.plain(given.get(TITLE), 64);
    String figures = Texts.plain(given.get(FIGURES), 512);
    byte[] said = given.get(DESCRIPTION);
    String description = said == null ? null : Texts.utf8(said);
    Map<String, String> byName = new HashMap<>();
    if (figures != null) {
      for (String one : figures.split(";", -1)) {
        int colon = one.indexOf(':');
        if (colon <= 0 || byName.put(one.substring(0, colon), one.substring(colon + 1)) != null) {
          heard.unfit(id, "figures that cannot be read");
          return;
        }
      }
    }
    if (id == 0 || pack == null || title == null || figures == null) {
      heard.unfit(id, "a set-up without id, package, title or figures");
      return;
    }
    String at = byName.get("at");
    if (at == null && (description == null || Texts.whole(left) < 0)) {
      heard.unfit(id, "a set-up without description or time");
      return;
    }
    heard.setUp(
        id,
        new SetUpForm(
            pack,
            Texts.whole(left),
            title,
            figure(byName, "home"),
            figure(byName, "copies"),
            figure(byName, "top"),
            at,
            description));
  }

  /** -1 where it is not given, -2 where it is no number. */
  private static long figure(Map<String, String> byName, String name) {
    String text = byName.get(name);
    return text == null
        ? SetUpForm.ABSENT
        : text.isEmpty() || Texts.whole(text) < 0 ? SetUpForm.NONE : Texts.whole(text);
  }

  /* ---- what fronts write ---- */

  /** The viewing plays; the description is what its box gave. */
  public static byte[] plays(long id, byte[] description) {
    return message(ANSWER, id, DESCRIPTION, description);
  }

  /** A further try is harmless, best after so many ms (0: no advice). */
  public static byte[] blocked(long id, long comeBackMs) {
    return comeBackMs <= 0
        ? ended(id, 34)
        : message(
            END,
            id,
            CAUSE,
            new byte[] {34},
            COME_BACK,
            Long.toString(comeBackMs).getBytes(StandardCharsets.US_ASCII));
  }

  public static byte[] aborted(long id) {
    return ended(id, 47);
  }

  /** A set-up that cannot be used: trying it again is no use. */
  public static byte[] unfit(long id) {
    return ended(id, 95);
  }

  /** What played is over: it has come to its end, or has been cut. */
  public static byte[] over(long id, boolean cut) {
    return ended(id, cut ? 41 : 16);
  }

  private static byte[] ended(long id, int cause) {
    return message(END, id, CAUSE, new byte[] {(byte) cause});
  }

  public static byte[] tested(long id) {
    return message(TESTED, id, CAUSE, new byte[] {1});
  }

  /** Whether a description fits a message of its own. */
  public static boolean fits(byte[] description) {
    return description.length <= MOST - 2 - LEAST - 3;
  }

  private static byte[] message(int type, long id, Object... parameters) {
    int length = LEAST;
    for (int i = 1; i < parameters.length; i += 2) {
      length += 3 + ((byte[]) parameters[i]).length;
    }
    ByteBuffer m =
        ByteBuffer.allocate(2 + length).putShort((short) length).put((byte) type).putLong(id);
    for (int i = 0; i < parameters.length; i += 2) {
      byte[] value = (byte[]) parameters[i + 1];
      m.put(((Integer) parameters[i]).byteValue()).putShort((short) value.length).put(value);
    }
    return m.array();
  }
}
