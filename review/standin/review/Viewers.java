package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Viewers of one front: connections that are kept, and what was asked and answered on them. */
final class Viewers implements AutoCloseable {
  /** One request for a session; times are in milliseconds of the case, -1: not yet. */
  static final class Request {
    final String id;
    final String title;
    final long leftMs;
    volatile long sentAt = -1;
    volatile long answeredAt = -1;
    volatile int answers;
    /** 9: it plays; 12 with a cause: it does not. */
    volatile int answer;
    volatile int cause = -1;
    volatile String description;
    volatile long releasedAt = -1;
    /** Set by the case: when it was over at its server, and how. */
    volatile long overAt = -1;
    volatile String overWhy;

    Request(String id, String title, long leftMs) {
      this.id = id;
      this.title = title;
      this.leftMs = leftMs;
    }

    boolean stands() {
      return answer == 9 && releasedAt < 0;
    }
  }

  private final Bench bench;
  private final int port;
  private final List<Socket> sockets = new ArrayList<>();
  final Map<String, Request> requests = new ConcurrentHashMap<>();
  private long nextConnection;
  volatile int closedByFront;

  Viewers(Bench bench, int port, int connections) throws IOException {
    this.bench = bench;
    this.port = port;
    for (int i = 0; i < connections; i++) {
      sockets.add(connect());
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    socket.setTcpNoDelay(true);
    Thread thread = new Thread(null, () -> read(socket), "viewers", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return socket;
  }

  private void read(Socket socket) {
    try {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        byte[] frame = new byte[in.readUnsignedShort()];
        in.readFully(frame);
        handle(socket, ByteBuffer.wrap(frame));
      }
    } catch (IOException e) {
      closedByFront++;
      bench.log("viewers: a connection has closed");
    }
  }

  private void handle(Socket socket, ByteBuffer frame) throws IOException {
    int type = frame.get() & 0xff;
    String id = String.format("%016x", frame.getLong());
    int cause = -1;
    String description = null;
    while (frame.hasRemaining()) {
      int code = frame.get() & 0xff;
      byte[] value = new byte[frame.getShort() & 0xffff];
      frame.get(value);
      if (code == 61) {
        cause = value[0] & 0xff;
      } else if (code == 63) {
        description = new String(value, StandardCharsets.UTF_8);
      }
    }
    bench.log("viewers: told %d cause %d of %s", type, cause, id);
    Request request = requests.get(id);
    if (request == null || type != 9 && type != 12) {
      return;
    }
    if (request.answer == 9 && type == 12) {
      request.releasedAt = bench.now();
      write(socket, message(16, id));
    } else {
      request.answers++;
      request.answer = type;
      request.cause = cause;
      request.description = description;
      request.answeredAt = bench.now();
    }
  }

  /** Asks for a session on one of the kept connections. */
  Request ask(String id, String packageName, String title, long leftMs, String figures) throws IOException {
    Request request = new Request(id, title, leftMs);
    requests.put(id, request);
    Socket socket;
    synchronized (this) {
      int place = (int) (nextConnection++ % sockets.size());
      if (sockets.get(place).isClosed()) {
        sockets.set(place, connect());
      }
      socket = sockets.get(place);
    }
    bench.log("viewers: ask %s title %s %s left %d", id, title, figures, leftMs);
    write(socket, setUp(id, packageName, title, leftMs, figures));
    request.sentAt = bench.now();
    return request;
  }

  private static void write(Socket socket, byte[] bytes) throws IOException {
    synchronized (socket) {
      socket.getOutputStream().write(bytes);
    }
  }

  static byte[] setUp(String id, String packageName, String title, long leftMs, String figures) {
    return message(1, id, 33, packageName, 35, Long.toString(leftMs), 41, title, 43, figures, 63,
        id + "\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
  }

  static byte[] message(int type, String id, Object... parameters) {
    ByteBuffer buffer = ByteBuffer.allocate(16 * 1024).putShort((short) 0).put((byte) type)
        .putLong(Long.parseUnsignedLong(id, 16));
    for (int i = 0; i < parameters.length; i += 2) {
      byte[] value = parameters[i + 1] instanceof byte[] bytes ? bytes
          : parameters[i + 1].toString().getBytes(StandardCharsets.UTF_8);
      buffer.put(((Integer) parameters[i]).byteValue()).putShort((short) value.length).put(value);
    }
    buffer.putShort(0, (short) (buffer.position() - 2));
    return java.util.Arrays.copyOf(buffer.array(), buffer.position());
  }

  /** Whether the front at this port passes a test. */
  static boolean passesTest(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      socket.setSoTimeout(1000);
      socket.getOutputStream().write(message(52, "0000000000000001", 61, new byte[] {0}));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      in.readUnsignedShort();
      return in.readUnsignedByte() == 53;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
