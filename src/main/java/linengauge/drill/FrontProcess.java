package linengauge.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linengauge.standin.Tap;

/**
 * A front as a process of its own: started, stopped for a while, killed outright, asked for its
 * state.
 */
final class FrontProcess {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final int number;
  private final Path site;
  private final Path log;
  private final String control;
  private final Tap tap;
  private String[] options = {
    "-Xmx256m", "-XX:MaxDirectMemorySize=512m", "-Xms48m", "-XX:+UseSerialGC"
  };
  private Process process;

  FrontProcess(int number, Path site, Path log, String control, Tap tap) {
    this.number = number;
    this.site = site;
    this.log = log;
    this.control = control;
    this.tap = tap;
  }

  int number() {
    return number;
  }

  void start(long seed) throws IOException {
    start(seed, options);
  }

  /** Started with these options of the virtual machine, now and whenever it is started again. */
  synchronized void start(long seed, String... given) throws IOException {
    options = given;
    String path =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(options));
    command.addAll(
        List.of(
            "-cp",
            path,
            "linengauge.cli.Main",
            "front",
            "--site",
            site.toString(),
            "--seed",
            Long.toString(seed)));
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    tap.recordEvent("front-started", "front", number);
  }

  /** Stops and continues the process by signal. */
  void stopFor(long millis) throws IOException, InterruptedException {
    tap.recordEvent("front-stopped", "front", number);
    signal("STOP");
    Thread.sleep(millis);
    signal("CONT");
    tap.recordEvent("front-continued", "front", number);
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  void kill() throws InterruptedException {
    tap.recordEvent("front-killed", "front", number);
    process.destroyForcibly().waitFor();
  }

  /** Asks it to end; true where it did so in time. */
  boolean end(long millis) throws InterruptedException {
    if (process == null) {
      return true;
    }
    process.destroy();
    if (process.waitFor(millis, TimeUnit.MILLISECONDS)) {
      return true;
    }
    process.destroyForcibly().waitFor();
    return false;
  }

  /** Heap in use after a collection, bytes. */
  long heap() throws IOException, InterruptedException {
    Process jcmd =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                Long.toString(process.pid()),
                "GC.run")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    if (!jcmd.waitFor(10, TimeUnit.SECONDS)) {
      jcmd.destroyForcibly();
    }
    return state().path("heapUsed").asLong();
  }

  Process process() {
    return process;
  }

  void destroy() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  boolean ready() {
    try {
      return get("/ready") != null;
    } catch (IOException e) {
      return false;
    }
  }

  JsonNode state() throws IOException {
    byte[] answer = get("/state");
    if (answer == null) {
      throw new IOException("front " + number + " gives no state");
    }
    return JSON.readTree(answer);
  }

  private byte[] get(String path) throws IOException {
    HttpURLConnection c =
        (HttpURLConnection) URI.create("http://" + control + path).toURL().openConnection();
    c.setConnectTimeout(500);
    c.setReadTimeout(1000);
    try {
      return c.getResponseCode() == 200 ? c.getInputStream().readAllBytes() : null;
    } finally {
      c.disconnect();
    }
  }

  String lastLog() {
    try {
      List<String> lines = Files.readAllLines(log);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    } catch (IOException e) {
      return "";
    }
  }
}
