package linengauge.platform.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Encodes and decodes the binary messages exchanged with clients (docs/protocol/platform.md,
 * "Viewers"). Each connection has a decoder of its own, which accepts chunks of any size and calls
 * {@link Handler}. It buffers the latest chunk and the beginning of one message, and rejects
 * messages longer than {@link #MAX_MESSAGE_BYTES}.
 */
public final class ClientMessageCodec {
  /** Maximum length of a whole message in bytes. */
  public static final int MAX_MESSAGE_BYTES = 16 * 1024;

  /** Length of the message type and the id in bytes. */
  private static final int HEADER_BYTES = 9;

  private static final int SET_UP = 1;
  private static final int ANSWER = 9;
  private static final int END = 12;
  private static final int RELEASE_ACKNOWLEDGED = 16;
  private static final int TEST = 52;
  private static final int TEST_ANSWER = 53;
  private static final int PACKAGE = 33;
  private static final int TIME_LEFT = 35;
  private static final int TITLE = 41;
  private static final int FIGURES = 43;
  private static final int RETRY_AFTER = 45;
  private static final int CAUSE = 61;
  private static final int DESCRIPTION = 63;

  /**
   * Receives the decoded messages of one connection. An unusable message is well-formed but its
   * content cannot be used.
   */
  public interface Handler {
    void onSetUp(long id, SetUpRequest request);

    void onEnded(long id, int cause);

    void onTest(long id);

    void onUnusable(long id, String reason);
  }

  private final Handler handler;

  /**
   * Bytes received and not decoded yet, from {@link #position} on. The caller bounds them: it
   * appends nothing while whole messages wait here.
   */
  private byte[] received = new byte[0];

  private int position;

  public ClientMessageCodec(Handler handler) {
    this.handler = handler;
  }

  /** Returns whether a message has begun and not ended. */
  public boolean hasPartialMessage() {
    return position < received.length;
  }

  /** Returns the number of bytes received and not decoded yet. */
  public int unreadBytes() {
    return received.length - position;
  }

  /** Appends received bytes, to be decoded by {@link #decodeNext}. */
  public void append(byte[] data) {
    if (position == received.length) {
      received = data;
    } else {
      byte[] joined = Arrays.copyOfRange(received, position, received.length + data.length);
      System.arraycopy(data, 0, joined, received.length - position, data.length);
      received = joined;
    }
    position = 0;
  }

  /** Releases the memory of what has been decoded. */
  public void compact() {
    if (position > 0) {
      received = Arrays.copyOfRange(received, position, received.length);
      position = 0;
    }
  }

  /** A complete message as received, of which only type and id have been decoded. */
  public static final class Message {
    private final int type;
    private final long id;
    private final byte[] bytes;
    private final int start;
    private final int length;

    private Message(byte[] bytes, int start, int length) {
      ByteBuffer head = ByteBuffer.wrap(bytes, start, length);
      this.type = head.get() & 0xff;
      this.id = head.getLong();
      this.bytes = bytes;
      this.start = start;
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

    /** Returns whether the client acknowledges the release of a session. */
    public boolean isReleaseAcknowledgement() {
      return type == RELEASE_ACKNOWLEDGED;
    }

    /** Returns whether this sets up a session that already runs: its figures name a server. */
    public boolean isHandOver() {
      ByteBuffer parameters = ByteBuffer.wrap(bytes, start + HEADER_BYTES, length - HEADER_BYTES);
      while (type == SET_UP && parameters.remaining() >= 3) {
        int code = parameters.get() & 0xff;
        int size = parameters.getShort() & 0xffff;
        if (size > parameters.remaining()) {
          return false;
        }
        if (code == FIGURES) {
          String figures =
              new String(bytes, parameters.position(), size, StandardCharsets.ISO_8859_1);
          return figures.startsWith("at:") || figures.contains(";at:");
        }
        parameters.position(parameters.position() + size);
      }
      return false;
    }

    /** Returns a copy that does not share the receive buffer. */
    public Message copy() {
      return new Message(Arrays.copyOfRange(bytes, start, start + length), 0, length);
    }
  }

  /**
   * Returns the next complete message, or null if there is none.
   *
   * @throws MalformedMessageException if the bytes cannot be a message; the connection cannot be
   *     used any more
   */
  public Message nextMessage() throws MalformedMessageException {
    if (received.length - position < 2) {
      return null;
    }
    int length = (received[position] & 0xff) << 8 | received[position + 1] & 0xff;
    if (length < HEADER_BYTES || length + 2 > MAX_MESSAGE_BYTES) {
      throw new MalformedMessageException("invalid message length of " + length + " bytes");
    }
    if (received.length - position < 2 + length) {
      return null;
    }
    Message message = new Message(received, position + 2, length);
    position += 2 + length;
    if (position == received.length) {
      received = new byte[0];
      position = 0;
    }
    return message;
  }

  /** Decodes the message and passes it to the handler. */
  public void decode(Message message) throws MalformedMessageException {
    decodeBody(ByteBuffer.wrap(message.bytes, message.start, message.length));
  }

  /** Decodes one message; returns false if none is complete. */
  public boolean decodeNext() throws MalformedMessageException {
    Message message = nextMessage();
    if (message != null) {
      decode(message);
    }
    return message != null;
  }

  /** Appends the bytes, decodes all complete messages, and returns how many there were. */
  public int feed(byte[] data) throws MalformedMessageException {
    append(data);
    int completed = 0;
    while (decodeNext()) {
      completed++;
    }
    return completed;
  }

  private void decodeBody(ByteBuffer message) throws MalformedMessageException {
    int type = message.get() & 0xff;
    long id = message.getLong();
    Map<Integer, byte[]> parameters = new HashMap<>();
    while (message.hasRemaining()) {
      if (message.remaining() < 3) {
        throw new MalformedMessageException("truncated parameter");
      }
      int code = message.get() & 0xff;
      int length = message.getShort() & 0xffff;
      if (length > message.remaining()) {
        throw new MalformedMessageException("parameter exceeds its message");
      }
      byte[] value = new byte[length];
      message.get(value);
      if (parameters.put(code, value) != null) {
        handler.onUnusable(id, "duplicate parameter");
        return;
      }
    }
    switch (type) {
      case SET_UP -> decodeSetUp(id, parameters);
      case END -> {
        byte[] cause = parameters.get(CAUSE);
        handler.onEnded(id, cause != null && cause.length == 1 ? cause[0] & 0xff : 0);
      }
      case TEST -> handler.onTest(id);
      default -> {
        // Progress, acknowledged releases and notes require no action.
      }
    }
  }

  private void decodeSetUp(long id, Map<Integer, byte[]> parameters) {
    String packageName = TextFormat.decodePrintableAscii(parameters.get(PACKAGE), 64);
    String timeLeft = TextFormat.decodePrintableAscii(parameters.get(TIME_LEFT), 18);
    String title = TextFormat.decodePrintableAscii(parameters.get(TITLE), 64);
    String figures = TextFormat.decodePrintableAscii(parameters.get(FIGURES), 512);
    byte[] descriptionBytes = parameters.get(DESCRIPTION);
    String description = descriptionBytes == null ? null : TextFormat.decodeUtf8(descriptionBytes);
    Map<String, String> figuresByName = new HashMap<>();
    if (figures != null) {
      for (String figure : figures.split(";", -1)) {
        int colon = figure.indexOf(':');
        if (colon <= 0
            || figuresByName.put(figure.substring(0, colon), figure.substring(colon + 1)) != null) {
          handler.onUnusable(id, "malformed figures");
          return;
        }
      }
    }
    if (id == 0 || packageName == null || title == null || figures == null) {
      handler.onUnusable(id, "set-up without id, package, title or figures");
      return;
    }
    String serverName = figuresByName.get("at");
    if (serverName == null && (description == null || TextFormat.parseWholeNumber(timeLeft) < 0)) {
      handler.onUnusable(id, "set-up without description or time left");
      return;
    }
    handler.onSetUp(
        id,
        new SetUpRequest(
            packageName,
            TextFormat.parseWholeNumber(timeLeft),
            title,
            parseFigure(figuresByName, "home"),
            parseFigure(figuresByName, "copies"),
            parseFigure(figuresByName, "top"),
            serverName,
            description));
  }

  /**
   * Returns {@link SetUpRequest#ABSENT} or {@link SetUpRequest#INVALID} where there is no number.
   */
  private static long parseFigure(Map<String, String> figuresByName, String name) {
    String text = figuresByName.get(name);
    return text == null
        ? SetUpRequest.ABSENT
        : text.isEmpty() || TextFormat.parseWholeNumber(text) < 0
            ? SetUpRequest.INVALID
            : TextFormat.parseWholeNumber(text);
  }

  /* ---- messages to clients ---- */

  /** The session is established; the description is the one that its server returned. */
  public static byte[] encodeStarted(long id, byte[] description) {
    return encode(ANSWER, id, DESCRIPTION, description);
  }

  /**
   * Cause 34, rejected: a retry is harmless, and best made after this many milliseconds; 0 gives no
   * advice.
   */
  public static byte[] encodeRejected(long id, long retryAfterMs) {
    return retryAfterMs <= 0
        ? encodeEnd(id, 34)
        : encode(
            END,
            id,
            CAUSE,
            new byte[] {34},
            RETRY_AFTER,
            Long.toString(retryAfterMs).getBytes(StandardCharsets.US_ASCII));
  }

  /** Cause 47, failed: an attempt may or may not have run at a server. */
  public static byte[] encodeFailed(long id) {
    return encodeEnd(id, 47);
  }

  /** Cause 95: the set-up cannot be used, so that a retry is pointless. */
  public static byte[] encodeUnusable(long id) {
    return encodeEnd(id, 95);
  }

  /** An established session is over: it has been cut (cause 41) or has ended by itself (16). */
  public static byte[] encodeOver(long id, boolean cut) {
    return encodeEnd(id, cut ? 41 : 16);
  }

  private static byte[] encodeEnd(long id, int cause) {
    return encode(END, id, CAUSE, new byte[] {(byte) cause});
  }

  public static byte[] encodeTestAnswer(long id) {
    return encode(TEST_ANSWER, id, CAUSE, new byte[] {1});
  }

  /** Returns whether the description fits into a single message. */
  public static boolean fitsInMessage(byte[] description) {
    return description.length <= MAX_MESSAGE_BYTES - 2 - HEADER_BYTES - 3;
  }

  private static byte[] encode(int type, long id, Object... parameters) {
    int length = HEADER_BYTES;
    for (int i = 1; i < parameters.length; i += 2) {
      length += 3 + ((byte[]) parameters[i]).length;
    }
    ByteBuffer message =
        ByteBuffer.allocate(2 + length).putShort((short) length).put((byte) type).putLong(id);
    for (int i = 0; i < parameters.length; i += 2) {
      byte[] value = (byte[]) parameters[i + 1];
      message.put(((Integer) parameters[i]).byteValue()).putShort((short) value.length).put(value);
    }
    return message.array();
  }
}
