package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: the record, a clock, timers, and fronts as processes that are started with
 * the run command of the deploy file.
 */
final class Bench implements AutoCloseable {
  static final Path ROOT = Path.of(System.getProperty("review.root", ".")).toAbsolutePath().normalize();

  final long startedAt = System.currentTimeMillis();
  final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, task -> {
    Thread thread = new Thread(task, "timers");
    thread.setDaemon(true);
    return thread;
  });
  final Path temporary;
  private final BufferedWriter record;
  private final List<Process> processes = new ArrayList<>();
  private final List<AutoCloseable> parts = new ArrayList<>();

  Bench(Path caseFolder) throws IOException {
    record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Milliseconds since the case began. */
  long now() {
    return System.currentTimeMillis() - startedAt;
  }

  void log(String format, Object... values) {
    String line = String.format("%7d %s", now(), String.format(format, values));
    synchronized (record) {
      try {
        record.write(line);
        record.newLine();
        record.flush();
      } catch (IOException e) {
        // the case has ended
      }
    }
  }

  /** For the record and for the person who runs the case. */
  void say(String format, Object... values) {
    log(format, values);
    System.out.println(String.format(format, values));
  }

  void after(long delayMs, Runnable task) {
    timers.schedule(() -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log("stand-in failed: %s", e);
      }
    }, Math.max(0, delayMs), TimeUnit.MILLISECONDS);
  }

  <T extends AutoCloseable> T part(T part) {
    parts.add(part);
    return part;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      return socket.getLocalPort();
    }
  }

  /** The run command of the deploy file. */
  static String runCommand() throws IOException {
    Matcher line = Pattern.compile("(?m)^run = \"((?:[^\"\\\\]|\\\\.)*)\"")
        .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
    if (!line.find()) {
      throw new IOException("deploy/balancer.toml has no run command");
    }
    return line.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
  }

  /** Starts a front with this configuration; returns once it has passed a test. */
  Process startFront(String name, int port, String configuration) throws Exception {
    Path folder = Files.createDirectories(temporary.resolve(name + "-" + processes.size()));
    Path file = folder.resolve("config.json");
    Files.writeString(file, configuration);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.directory(ROOT.toFile());
    builder.environment().put("PROXY_NAME", name);
    builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("PROXY_CONFIG", file.toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
    Process process = builder.start();
    processes.add(process);
    for (int i = 0; i < 300; i++) {
      if (!process.isAlive()) {
        throw new IOException("the front ended: " + Files.readString(folder.resolve("log")));
      }
      if (Viewers.passesTest(port)) {
        log("front %s is ready, pid %d", name, process.pid());
        return process;
      }
      Thread.sleep(100);
    }
    throw new IOException("the front was not ready within 30 s");
  }

  /** The lines that the front of this number has logged. */
  String frontLog(String name, int number) throws IOException {
    return Files.readString(temporary.resolve(name + "-" + number).resolve("log"));
  }

  private void endProcesses() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() throws Exception {
    endProcesses();
    for (Process process : processes) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    for (AutoCloseable part : parts) {
      try {
        part.close();
      } catch (Exception e) {
        // it has ended already
      }
    }
    timers.shutdownNow();
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    synchronized (record) {
      record.close();
    }
  }

  /* ---- configuration ---- */

  /**
   * A front's configuration: the settings are the example of the wire page, for the given number of
   * fronts.
   */
  static String configuration(
      int port, int journalPort, int sockets, int fronts, int places, List<Server> servers) {
    StringBuilder rows = new StringBuilder();
    for (Server server : servers) {
      rows.append(rows.length() == 0 ? "" : ",").append(String.format(
          "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"main-office\",\"model\":\"small\","
              + "\"pod_group\":%d,\"state\":\"up\",\"capacity_hint\":2,\"boot_ms\":0}",
          server.name, server.port, server.cell));
    }
    String settings = """
        {"balancers":%d,
         "blend":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},
         "charges":{"connection":0.0,"crossZone":0.01,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.18,"origin":0.0,"peer":0.0,"probe":0.0078,"waste":0.0},
         "clients":{"marksRetry":false},"discovery":"automatic",
         "domain":{"changeCostsS":0.94,"classLive":[false,false],"floorByClass":[0,0],"fullFrom":0.0,"highestRung":[4,4],"joinAdds":1.0,
          "ladderKb":[177.0,298.0,503.0,847.0,1428.0],"licenceCap":[0,0],"linksKb":%d,"places":%d,"placesByKind":[30,45],
          "rateFactor":[0.7,1.4],"seeUs":1028563,"shelves":3,"shortfallCost":8.0,"tellUs":0,"uplinkKb":%d,"weightKb":3194.0,
          "worthByRung":[0.26,0.47,0.65,0.83,1.0]},
         "domainType":"streams",
         "guarantees":{"answerSlackUs":40000,"askWithinUs":10000000,"coldUs":12000000,"drainGraceUs":1000000,"fallMultiple":2.5,"startCapacity":0.4,"tipAfterUs":1500000},
         "kinds":["small","large"],"loadReport":{"fields":["outstanding","x0","x1"],"how":"pull"},
         "localities":["main-office","training-hall","warehouse"],"me":0,"overShareWorth":0.1,
         "policyLimits":{"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"dialTimeoutUs":250000,"idleCloseUs":30000000,"maxAttempts":3,"maxOpen":1000000,
          "maxRetryAfterUs":2000000,"mayCancel":true,"multiplex":1048576,"peers":false,"probing":true,"retryAfter":true,"secondCopies":false},
         "projects":[],
         "requestClasses":[
          {"aimUs":800000,"deadlineUs":3000000,"idempotency":"safe","keyScope":"all","lateWorth":0.0,"name":"lesson","stream":true,"windowUs":5000000,"worth":1.0},
          {"aimUs":1000000,"deadlineUs":3000000,"idempotency":"safe","keyScope":"all","lateWorth":0.0,"name":"season-review","stream":true,"windowUs":5000000,"worth":3.0}],
         "stages":["media-fleet"],"stepUs":10000,"tier":0,"weights":"rough","worthBy":"request","zone":0}"""
        .formatted(fronts, 6388 * servers.size(), places, 6388 * servers.size() / 3 * 7 / 10);
    return String.format(
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:%d\",\"seed\":\"%016x\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,"
            + "\"sockets\":%d},\"journal\":\"127.0.0.1:%d\",\"known\":{\"pos\":1,\"entries\":[{\"pos\":1,\"hosts\":{\"rev\":1,"
            + "\"all\":true,\"targets\":[%s]}}]},\"settings\":%s}",
        port, System.nanoTime(), sockets, journalPort, rows, settings);
  }
}
