package linengauge.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linengauge.cli.Main;
import linengauge.standin.FaultyServer;

/** One front as a process, across its restarts. */
final class SoakFront {
  /**
   * One process from its start to its end, with the times of signals. NEVER: not yet, or not at
   * all.
   */
  static final class ProcessRun {
    static final long NEVER = Long.MAX_VALUE;
    final long startedAt = FaultyServer.nowMicros();
    long stopRequestedAt = NEVER;
    long killedAt = NEVER;
    long endedAt = NEVER;
    long lastReloadAt = Long.MIN_VALUE;
    int exitCode = -1;

    boolean isAliveAt(long at) {
      return startedAt <= at && at < endedAt;
    }
  }

  final int number;
  final int port;
  private final Path folder;
  private final Path configurationFile;
  final List<ProcessRun> runs = new ArrayList<>();
  private volatile Process process;

  SoakFront(int number, int port, Path folder) {
    this.number = number;
    this.port = port;
    this.folder = folder;
    this.configurationFile = folder.resolve("front-" + number + ".json");
  }

  ProcessRun currentRun() {
    return runs.get(runs.size() - 1);
  }

  Path logFile() {
    return folder.resolve("front-" + number + ".log");
  }

  /** Replaces the configuration file atomically, as the operators do. */
  void writeConfiguration(String configuration) throws IOException {
    Path temporaryFile = folder.resolve("front-" + number + ".new");
    Files.writeString(temporaryFile, configuration);
    Files.move(temporaryFile, configurationFile, StandardCopyOption.ATOMIC_MOVE);
  }

  void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xms24m",
            "-Xmx24m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxDirectMemorySize=12m",
            "-Dio.netty.allocator.type=unpooled",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "serve");
    builder.environment().put("PROXY_CONFIG", configurationFile.toString());
    builder.environment().put("MALLOC_ARENA_MAX", "1");
    runs.add(new ProcessRun());
    process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()))
            .start();
    ProcessRun run = currentRun();
    process.onExit().thenAccept(exited -> recordExit(run, exited.exitValue()));
  }

  private void recordExit(ProcessRun run, int exitCode) {
    run.endedAt = FaultyServer.nowMicros();
    run.exitCode = exitCode;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void reload() throws IOException, InterruptedException {
    currentRun().lastReloadAt = FaultyServer.nowMicros();
    signal("HUP");
  }

  void requestStop() throws IOException, InterruptedException {
    currentRun().stopRequestedAt = FaultyServer.nowMicros();
    signal("TERM");
  }

  void kill() throws InterruptedException {
    if (isAlive()) {
      currentRun().killedAt = FaultyServer.nowMicros();
    }
    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Resident memory in MB and the number of sockets; null where the process has ended. */
  int[] usage() {
    try {
      Path processFolder = Path.of("/proc", Long.toString(process.pid()));
      String resident =
          Files.readAllLines(processFolder.resolve("status")).stream()
              .filter(line -> line.startsWith("VmRSS"))
              .findFirst()
              .orElse("VmRSS: 0 kB");
      try (var descriptors = Files.list(processFolder.resolve("fd"))) {
        return new int[] {
          Integer.parseInt(resident.replaceAll("\\D", "")) / 1024,
          (int) descriptors.filter(SoakFront::isSocket).count()
        };
      }
    } catch (IOException | UncheckedIOException e) {
      return null;
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException e) {
      return false; // The descriptor was closed meanwhile.
    }
  }
}
