import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the cases of the review, written from the operators' protocol page: servers, the
 * journal service, viewers, and the start of a front with the run command of the deploy file.
 */
final class Kit {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int CANNOT_RUN = 2;

  static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(4, Kit::daemon);
  private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
  private static PrintWriter record;
  static Path folder;
  static Path temporary;

  private Kit() {}

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static void spawn(Runnable task) {
    daemon(task).start();
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  interface Body {
    int run() throws Exception;
  }

  /** Runs a case with its record, bounds its time, and ends every process that it started. */
  static void run(String[] args, Body body) throws Exception {
    folder = Path.of(args[0]);
    temporary = Path.of(args[1]);
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
    TIMERS.schedule(
        () -> {
          log("the case did not end in time");
          record.flush();
          endProcesses();
          Runtime.getRuntime().halt(CANNOT_RUN);
        },
        112,
        TimeUnit.SECONDS);
    int result;
    log("TROUBLE=" + (trouble() ? 1 : 0));
    try {
      result = body.run();
    } catch (Exception e) {
      log("the case could not run: " + e);
      e.printStackTrace();
      result = CANNOT_RUN;
    }
    for (Process process : PROCESSES) {
      if (result != CANNOT_RUN && expectedAlive.contains(process) && !process.isAlive()) {
        log("a front has ended by itself, exit " + process.exitValue());
      }
    }
    log("exit " + result);
    record.flush();
    endProcesses();
    Runtime.getRuntime().halt(result);
  }

  static final Set<Process> expectedAlive = ConcurrentHashMap.newKeySet();

  private static void endProcesses() {
    for (Process process : PROCESSES) {
      process.destroyForcibly();
    }
  }

  static void log(String text) {
    long micros = micros();
    synchronized (record) {
      record.println(String.format("%d.%03d %s", micros / 1_000_000, micros / 1000 % 1000, text));
    }
  }

  static void say(String text) {
    log(text);
    System.out.println(text);
  }

  static long micros() {
    java.time.Instant now = java.time.Instant.now();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
  }

  static long millis() {
    return System.currentTimeMillis();
  }

  static void sleep(long ms) throws InterruptedException {
    if (ms > 0) {
      Thread.sleep(ms);
    }
  }

  /** A free port outside the range from which the system takes ports for connections. */
  static int freePort() throws IOException {
    java.util.Random random = new java.util.Random();
    for (int i = 0; i < 200; i++) {
      int port = 15_000 + random.nextInt(15_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return port;
      } catch (IOException e) {
        // Taken.
      }
    }
    throw new IOException("no free port");
  }

  /* ---- the front ---- */

  /** One row of the list of servers, as `known` has it. */
  static String row(Server server, String state, long bootMs) {
    return String.format(
        "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"main-office\",\"model\":\"small\","
            + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":2,\"boot_ms\":%d}",
        server.name(), server.port, server.cell, state, bootMs);
  }

  /** The settings: those of valle-central-media as on the wire page, with a few of the case's own. */
  static String settings(int fronts, String limits, String guarantees, String domain, String classes) {
    return "{\"balancers\":" + fronts + ",\"charges\":{\"crossZone\":0.01,\"handshake\":0.0,"
        + "\"lateFail\":0.08,\"moves\":0.18,\"probe\":0.0078},\"clients\":{\"marksRetry\":false},"
        + "\"discovery\":\"automatic\",\"domain\":" + domain + ",\"domainType\":\"streams\","
        + "\"guarantees\":" + guarantees + ",\"kinds\":[\"small\",\"large\"],"
        + "\"loadReport\":{\"fields\":[\"outstanding\",\"x0\",\"x1\"],\"how\":\"pull\"},"
        + "\"localities\":[\"main-office\",\"training-hall\",\"warehouse\"],\"me\":0,"
        + "\"policyLimits\":" + limits + ",\"requestClasses\":" + classes
        + ",\"stepUs\":10000,\"tier\":0,\"weights\":\"rough\",\"worthBy\":\"request\",\"zone\":0}";
  }

  static final String LIMITS =
      "{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"dialTimeoutUs\":250000,"
          + "\"idleCloseUs\":30000000,\"maxAttempts\":3,\"maxOpen\":1000000,\"maxRetryAfterUs\":2000000,"
          + "\"mayCancel\":true,\"multiplex\":1048576,\"peers\":false,\"probing\":true,"
          + "\"retryAfter\":true,\"secondCopies\":false}";
  static final String GUARANTEES =
      "{\"answerSlackUs\":40000,\"askWithinUs\":10000000,\"coldUs\":12000000,"
          + "\"drainGraceUs\":1000000,\"fallMultiple\":2.5,\"startCapacity\":0.4,\"tipAfterUs\":1500000}";

  /** Links wide enough that no server is ever short; every uplink carries all of its rack. */
  static String domain(int places, int shelves, int servers) {
    return "{\"changeCostsS\":0.94,\"classLive\":[false,false],\"floorByClass\":[0,0],"
        + "\"fullFrom\":0.0,\"highestRung\":[4,4],\"joinAdds\":1.0,"
        + "\"ladderKb\":[177.0,298.0,503.0,847.0,1428.0],\"licenceCap\":[0,0],"
        + "\"linksKb\":" + 40000.0 * servers + ",\"places\":" + places + ",\"placesByKind\":[30,45],"
        + "\"rateFactor\":[0.7,1.4],\"seeUs\":1028563,\"shelves\":" + shelves + ",\"shortfallCost\":8.0,"
        + "\"tellUs\":0,\"uplinkKb\":" + 40000.0 * servers / shelves
        + ",\"weightKb\":20000.0,\"worthByRung\":[0.26,0.47,0.65,0.83,1.0]}";
  }

  static final String CLASSES =
      "[{\"aimUs\":800000,\"deadlineUs\":3000000,\"idempotency\":\"safe\",\"keyScope\":\"all\","
          + "\"lateWorth\":0.0,\"name\":\"lesson\",\"stream\":true,\"windowUs\":5000000,\"worth\":1.0},"
          + "{\"aimUs\":1000000,\"deadlineUs\":3000000,\"idempotency\":\"safe\",\"keyScope\":\"all\","
          + "\"lateWorth\":0.0,\"name\":\"season-review\",\"stream\":true,\"windowUs\":5000000,\"worth\":3.0}]";

  /** A front as the platform starts it: the run command of the deploy file, from the root. */
  static final class Front {
    final Process process;
    final int port;
    final Path config;

    Front(int port, int sockets, int journalPort, String rows, String settings) throws Exception {
      this.port = port;
      config = Files.createTempFile(temporary, "front", ".json");
      Files.writeString(
          config,
          "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
              + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
              + "\"journal\":\"127.0.0.1:" + journalPort + "\",\"known\":{\"pos\":1,\"entries\":[{\"pos\":1,"
              + "\"hosts\":{\"rev\":1,\"all\":true,\"targets\":[" + rows + "]}}]},\"settings\":" + settings + "}");
      String deploy = Files.readString(Path.of("deploy/balancer.toml"));
      Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
      if (!run.find()) {
        throw new IOException("no run command in the deploy file");
      }
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
      builder.environment().put("PROXY_CONFIG", config.toString());
      builder.environment().put("PROXY_NAME", "n0");
      builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("TMPDIR", temporary.toString());
      File out = temporary.resolve("front-" + port + "-" + millis() + ".log").toFile();
      builder.redirectErrorStream(true).redirectOutput(out);
      process = builder.start();
      PROCESSES.add(process);
      expectedAlive.add(process);
      log("front started, process " + process.pid());
      long until = millis() + 30_000;
      while (true) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
          socket.setSoTimeout(3000);
          socket.getOutputStream().write(message(52, 1, 61, new byte[] {0}));
          DataInputStream in = new DataInputStream(socket.getInputStream());
          byte[] answer = new byte[in.readUnsignedShort()];
          in.readFully(answer);
          if (answer[0] == 53) {
            break;
          }
        } catch (IOException e) {
          if (millis() > until || !process.isAlive()) {
            throw new IOException("the front is not ready: " + Files.readString(out.toPath()));
          }
          Thread.sleep(50);
        }
      }
      log("front has passed its first test");
      logFile = out;
    }

    File logFile;

    void signal(String name) throws Exception {
      log("signal " + name + " to the front");
      new ProcessBuilder("/bin/kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Copies the front's log into the record. */
    void copyLog() throws IOException {
      for (String line : Files.readAllLines(logFile.toPath())) {
        log("front's log: " + line);
      }
    }
  }

  /* ---- binary messages ---- */

  static byte[] message(int type, long id, Object... parameters) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int i = 0; i < parameters.length; i += 2) {
      byte[] value =
          parameters[i + 1] instanceof byte[] bytes
              ? bytes
              : parameters[i + 1].toString().getBytes(StandardCharsets.UTF_8);
      body.write((Integer) parameters[i]);
      body.write(value.length >> 8);
      body.write(value.length & 0xff);
      body.writeBytes(value);
    }
    return ByteBuffer.allocate(11 + body.size())
        .putShort((short) (9 + body.size()))
        .put((byte) type)
        .putLong(id)
        .put(body.toByteArray())
        .array();
  }

  /* ---- viewers ---- */

  private static final AtomicLong IDS = new AtomicLong(0x9b1f03aa00000000L + (System.nanoTime() & 0xffffff) * 4096);

  /** What became of one request for a viewing. */
  static final class Request {
    final long id = IDS.incrementAndGet();
    String title;
    String figures;
    String className;
    long left;
    volatile long sentAt;
    volatile long answeredAt;
    volatile int answers;
    volatile String answer;
    volatile boolean played;
    volatile long releasedAt;
    volatile int releaseCause;
    volatile boolean endedByViewer;

    String tag() {
      return String.format("%016x", id);
    }
  }

  static final Map<Long, Request> REQUESTS = new ConcurrentHashMap<>();

  /** A connection from viewers, which many sessions share. */
  static final class Client {
    private final int port;
    private Socket socket;

    Client(int port) {
      this.port = port;
    }

    /** Connects with the first message, and again where the front has closed the connection. */
    private void open() throws IOException {
      Socket opened = new Socket("127.0.0.1", port);
      opened.setTcpNoDelay(true);
      socket = opened;
      spawn(() -> read(opened));
    }

    Request setUp(String className, String title, String figures, long left) throws IOException {
      Request request = new Request();
      request.className = className;
      request.title = title;
      request.figures = figures;
      request.left = left;
      REQUESTS.put(request.id, request);
      request.sentAt = millis();
      log("viewer sends set-up " + request.tag() + " " + className + " " + title + " " + figures + " left " + left);
      write(
          message(
              1, request.id, 33, className, 35, Long.toString(left), 41, title, 43, figures, 63,
              "d-" + request.tag()));
      return request;
    }

    /** Hands over a session that plays at that server already. */
    Request handOver(String className, String title, String figures, Server server) throws IOException {
      Request request = new Request();
      request.className = className;
      request.title = title;
      request.played = true;
      REQUESTS.put(request.id, request);
      request.sentAt = millis();
      log("viewer hands over " + request.tag() + " at " + server.name());
      write(
          message(
              1, request.id, 33, className, 41, title, 43, figures + ";at:" + server.name(), 63, "d"));
      return request;
    }

    void end(Request request) throws IOException {
      request.endedByViewer = true;
      log("viewer ends " + request.tag());
      write(message(12, request.id, 61, new byte[] {16}));
    }

    synchronized void write(byte[] bytes) throws IOException {
      if (socket == null) {
        open();
      }
      socket.getOutputStream().write(bytes);
    }

    synchronized void close() throws IOException {
      if (socket != null) {
        socket.close();
        socket = null;
      }
    }

    private synchronized void closed(Socket ended) {
      if (socket == ended) {
        socket = null;
      }
    }

    private void read(Socket socket) {
      try {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
          byte[] message = new byte[in.readUnsignedShort()];
          in.readFully(message);
          ByteBuffer body = ByteBuffer.wrap(message);
          int type = body.get() & 0xff;
          long id = body.getLong();
          int cause = 0;
          String description = null;
          while (body.remaining() >= 3) {
            int code = body.get() & 0xff;
            byte[] value = new byte[body.getShort() & 0xffff];
            body.get(value);
            if (code == 61) {
              cause = value[0] & 0xff;
            } else if (code == 63) {
              description = new String(value, StandardCharsets.UTF_8);
            }
          }
          received(type, id, cause, description);
        }
      } catch (IOException e) {
        closed(socket);
        log("a viewers' connection has ended: " + e);
      }
    }

    private static synchronized void received(int type, long id, int cause, String description) {
      Request request = REQUESTS.get(id);
      String tag = String.format("%016x", id);
      if (request == null) {
        log("viewers receive type " + type + " of unknown " + tag);
        return;
      }
      if (type == 9) {
        log("viewer receives answer " + tag + " " + description);
        request.answers++;
        request.answeredAt = millis();
        request.answer = description;
        request.played = true;
      } else if (type == 12 && request.played) {
        log("viewer receives release " + tag + " cause " + cause);
        if (request.releasedAt == 0) {
          request.releasedAt = millis();
          request.releaseCause = cause;
        }
      } else if (type == 12) {
        log("viewer receives refusal or failure " + tag + " cause " + cause);
        request.answers++;
        request.answeredAt = millis();
        request.answer = "cause " + cause;
      }
    }
  }

  /* ---- the journal service ---- */

  static final class Journal {
    private final ServerSocket listener;
    private final List<byte[]> events = new ArrayList<>();
    private final List<Socket> readers = new ArrayList<>();

    /** How late a front that asks gets its first frame. */
    volatile long firstFrameMs;

    Journal() throws IOException {
      listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
      events.add(new byte[0]); // the event that `known` holds
      spawn(this::accept);
      TIMERS.scheduleAtFixedRate(this::heartbeat, 1, 1, TimeUnit.SECONDS);
    }

    /** The service at its new address: the numbers continue. */
    Journal(Journal moved) throws IOException {
      this();
      events.clear();
      events.addAll(moved.events);
    }

    /** The old address: it accepts no new connection, and closes the open ones after 1.5 s. */
    void retire() throws IOException {
      listener.close();
      TIMERS.schedule(
          () -> {
            try {
              breakOff();
            } catch (IOException e) {
              // They have closed already.
            }
          },
          1500,
          TimeUnit.MILLISECONDS);
    }

    int port() {
      return listener.getLocalPort();
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = listener.accept();
          spawn(
              () -> {
                try {
                  long last = new DataInputStream(socket.getInputStream()).readLong();
                  log("journal: the front asks for what follows event " + last);
                  if (firstFrameMs > 0) {
                    Thread.sleep(firstFrameMs);
                  }
                  synchronized (this) {
                    log("journal: answers what follows event " + last);
                    for (int i = (int) last; i < events.size(); i++) {
                      socket.getOutputStream().write(events.get(i));
                    }
                    socket.getOutputStream().write(emptyFrame());
                    readers.add(socket);
                  }
                } catch (IOException | InterruptedException e) {
                  log("journal: the front has closed before it was answered");
                }
              });
        } catch (IOException e) {
          return;
        }
      }
    }

    /** Breaks off: closes every open connection. */
    synchronized void breakOff() throws IOException {
      log("journal: breaks off");
      for (Socket socket : readers) {
        socket.close();
      }
      readers.clear();
    }

    private synchronized void heartbeat() {
      send(emptyFrame());
    }

    private byte[] emptyFrame() {
      return ByteBuffer.allocate(13).putInt(9).putLong(events.size()).put((byte) 0).array();
    }

    static byte[] entry(Server server, int state, long bootMs) {
      return ByteBuffer.allocate(27)
          .putInt(server.id)
          .put(new byte[] {127, 0, 0, 1})
          .putShort((short) server.port)
          .put((byte) state)
          .put((byte) 0)
          .put((byte) 0)
          .putShort((short) server.cell)
          .putInt(2000)
          .putLong(bootMs)
          .array();
    }

    synchronized void publish(String text, byte[]... entries) {
      ByteBuffer frame =
          ByteBuffer.allocate(13 + 27 * entries.length)
              .putInt(9 + 27 * entries.length)
              .putLong(events.size() + 1)
              .put((byte) 2);
      for (byte[] entry : entries) {
        frame.put(entry);
      }
      events.add(frame.array());
      log("journal: event " + events.size() + ": " + text);
      send(frame.array());
    }

    private void send(byte[] bytes) {
      for (Socket socket : List.copyOf(readers)) {
        try {
          socket.getOutputStream().write(bytes);
        } catch (IOException e) {
          readers.remove(socket);
        }
      }
    }
  }

  /* ---- servers ---- */

  /** What a server knows of a session: when it stood and when it was over. */
  static final class Stood {
    final String tag;
    final Server server;
    final long stoodAt;
    volatile long overAt;
    volatile String why = "";
    Conn conn;

    Stood(String tag, Server server, Conn conn) {
      this.tag = tag;
      this.server = server;
      this.conn = conn;
      this.stoodAt = millis();
    }
  }

  static final Map<String, Stood> STOOD = new ConcurrentHashMap<>();

  interface Life {
    long ms(String tag);
  }

  private static final Pattern VERB = Pattern.compile("\"verb\":\"([A-Z]+)\"");
  private static final Pattern TAG = Pattern.compile("\"tag\":\"([0-9a-f]{16})\"");
  private static final Pattern KEY = Pattern.compile("\"key\":\"([^\"]*)\"");

  /** One connection from the front to a server. */
  static final class Conn {
    final Socket socket;
    final Server server;
    volatile boolean open = true;
    volatile boolean silent;
    final Set<String> setUps = ConcurrentHashMap.newKeySet();

    Conn(Server server, Socket socket) {
      this.server = server;
      this.socket = socket;
    }

    boolean usable() {
      return open && !silent;
    }

    synchronized boolean send(String verb, String tag, String opts, int rc, String blob) {
      if (!usable()) {
        return false;
      }
      String line =
          "{\"verb\":\"" + verb + "\",\"tag\":\"" + tag + "\",\"opts\":{" + opts + "}"
              + (rc < 0 ? "" : ",\"rc\":" + rc)
              + (blob == null ? "" : ",\"blob\":\"" + blob + "\"") + "}\n";
      try {
        socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
        return true;
      } catch (IOException e) {
        open = false;
        return false;
      }
    }

    void reset() {
      open = false;
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It has closed meanwhile.
      }
    }
  }

  /** A media server: sound unless the case says otherwise. */
  static class Server {
    final int id;
    final int cell;
    final int port;
    final ServerSocket listener;
    final List<Conn> conns = new CopyOnWriteArrayList<>();
    final Map<String, Stood> sessions = new ConcurrentHashMap<>();
    final Life life;
    private final ConcurrentLinkedQueue<String[]> releases = new ConcurrentLinkedQueue<>();
    private final Set<Integer> fillers = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillerSockets = new CopyOnWriteArrayList<>();
    volatile boolean accepting = true;
    volatile boolean dead;
    volatile long setUpMs = 60;
    final List<String[]> starts = new CopyOnWriteArrayList<>();

    /** Whether the server can use a set-up; it answers any other with 'error'. */
    volatile java.util.function.Predicate<String> holds = tag -> true;

    Server(int id, int cell, Life life, int backlog) throws IOException {
      this(id, cell, life, new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1")));
      listener.setSoTimeout(backlog == 1 ? 10 : 500);
    }

    Server(int id, int cell, Life life, ServerSocket listener) throws IOException {
      this.id = id;
      this.cell = cell;
      this.life = life;
      this.listener = listener;
      this.port = listener.getLocalPort();
      listener.setSoTimeout(10);
      spawn(this::accept);
    }

    String name() {
      return String.format("s-%08x", id);
    }

    private void accept() {
      while (!dead) {
        try {
          if (!accepting) {
            Thread.sleep(5);
            continue;
          }
          Socket socket = listener.accept();
          if (fillers.remove(socket.getPort())) {
            socket.close();
            continue;
          }
          socket.setTcpNoDelay(true);
          Conn conn = new Conn(this, socket);
          conns.add(conn);
          log(name() + " accepts a connection from port " + socket.getPort());
          for (String[] end = releases.poll(); end != null; end = releases.poll()) {
            log(name() + " repeats release " + end[0] + " on the new connection");
            conn.send("FINISH", end[0], "", Integer.parseInt(end[1]), null);
          }
          spawn(() -> read(conn));
        } catch (SocketTimeoutException e) {
          // Looks whether it still accepts.
        } catch (IOException | InterruptedException e) {
          return;
        }
      }
    }

    /** New connections never come up from now on: the queue of the listener is full. */
    void stopAccepting() throws Exception {
      accepting = false;
      Thread.sleep(25);
      for (int i = 0; i < 8; i++) {
        Socket socket = new Socket();
        try {
          socket.bind(new InetSocketAddress("127.0.0.1", 0));
          fillers.add(socket.getLocalPort());
          socket.connect(new InetSocketAddress("127.0.0.1", port), 60);
          fillerSockets.add(socket);
        } catch (IOException e) {
          fillers.remove(socket.getLocalPort());
          socket.close();
          break;
        }
      }
    }

    /** Another server takes over the address of this one, which has gone. */
    Server successor(int newId, Life newLife) throws IOException {
      dead = true;
      Server next = new Server(newId, cell, newLife, listener);
      next.fillers.addAll(fillers);
      return next;
    }

    void startAccepting() {
      accepting = true;
    }

    private void read(Conn conn) {
      try {
        InputStream in = conn.socket.getInputStream();
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        byte[] chunk = new byte[8192];
        for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
          for (int i = 0; i < n; i++) {
            if (chunk[i] != '\n') {
              line.write(chunk[i]);
            } else {
              String text = line.toString(StandardCharsets.UTF_8);
              line.reset();
              received(conn, text);
            }
          }
        }
      } catch (IOException e) {
        // Reset.
      }
      conn.open = false;
      conns.remove(conn);
      conn.setUps.clear();
      try {
        conn.socket.close();
      } catch (IOException e) {
        // It has closed already.
      }
    }

    void received(Conn conn, String line) {
      Matcher verb = VERB.matcher(line);
      Matcher tagMatcher = TAG.matcher(line);
      if (!verb.find() || !tagMatcher.find()) {
        log(name() + " cannot read: " + line);
        conn.reset();
        return;
      }
      String tag = tagMatcher.group(1);
      if (conn.silent) {
        onSilent(conn, line);
        return;
      }
      switch (verb.group(1)) {
        case "START" -> {
          Matcher key = KEY.matcher(line);
          String title = key.find() ? key.group(1) : "";
          starts.add(new String[] {tag, title, Long.toString(millis())});
          log(name() + " (cell " + cell + ") receives set-up " + tag + " of title " + title);
          conn.setUps.add(tag);
          TIMERS.schedule(() -> stand(conn, tag), setUpMs, TimeUnit.MILLISECONDS);
        }
        case "FINISH" -> {
          conn.setUps.remove(tag);
          Stood stood = sessions.remove(tag);
          log(name() + " receives end " + tag + (stood == null ? "" : " of a standing session"));
          if (stood != null) {
            stood.overAt = millis();
            stood.why = "ended by the front";
            conn.send("FINISH", tag, "", 31, null);
          } else {
            conn.send("FINISHED", tag, "", -1, null);
          }
        }
        case "ECHO" ->
            conn.send(
                "ECHOED",
                tag,
                line.contains("\"rc\":1") ? "\"load\":\"outstanding:" + sessions.size() + ";x0:0.30;x1:0.30\"" : "",
                1,
                null);
        default -> {}
      }
    }

    void onSilent(Conn conn, String line) {}

    private void stand(Conn conn, String tag) {
      if (dead || !conn.usable() || !conn.setUps.remove(tag)) {
        return;
      }
      if (!holds.test(tag)) {
        log(name() + " answers set-up " + tag + " with 'error'");
        conn.send("FINISH", tag, "", 47, null);
        return;
      }
      Stood stood = new Stood(tag, this, conn);
      sessions.put(tag, stood);
      STOOD.put(tag, stood);
      conn.send("STARTED", tag, "", -1, "a-" + tag + "-" + name());
      long ms = life.ms(tag);
      if (ms > 0) {
        TIMERS.schedule(() -> end(tag, 16), ms, TimeUnit.MILLISECONDS);
      }
    }

    /** A session that stands already when the day begins. */
    void begin(String tag, long ms) {
      Stood stood = new Stood(tag, this, null);
      sessions.put(tag, stood);
      STOOD.put(tag, stood);
      TIMERS.schedule(() -> end(tag, 16), ms, TimeUnit.MILLISECONDS);
    }

    /**
     * A session comes to its end: the release goes out on the connection of its set-up, otherwise
     * on any open one, and also on the next connection opened.
     */
    void end(String tag, int cause) {
      Stood stood = sessions.remove(tag);
      if (stood == null || dead) {
        return;
      }
      stood.overAt = millis();
      stood.why = "came to its end";
      boolean sent = stood.conn != null && stood.conn.send("FINISH", tag, "", cause, null);
      for (Conn conn : conns) {
        sent = sent || conn.send("FINISH", tag, "", cause, null);
      }
      log(name() + " releases " + tag + " cause " + cause + (sent ? "" : ", no connection is open"));
      releases.add(new String[] {tag, Integer.toString(cause)});
    }
  }
}
