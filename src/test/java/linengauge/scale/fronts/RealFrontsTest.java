package linengauge.scale.fronts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import linengauge.cli.Main;
import linengauge.scale.ScaleResult.Completeness;
import linengauge.scale.ScaleResultFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against loads that do not reach the front and front processes that are left running. */
@Timeout(120)
class RealFrontsTest {
  private static final int SIZE = 12;

  @TempDir private Path folder;

  private static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  private static String runLine() {
    return "exec '"
        + java()
        + "' -Xmx64m -XX:TieredStopAtLevel=1 -cp '"
        + System.getProperty("java.class.path")
        + "' linengauge.cli.Main serve";
  }

  private FrontLoads loads() {
    return new FrontLoads(
        new FrontPlan(runLine(), folder, List.of(SIZE), List.of(SIZE), 1, 1, 1000));
  }

  private static void assertUsed(Map<String, Double> figures) {
    assertTrue(figures.get(FrontLoads.MEMORY) > 10, figures.toString());
    assertTrue(figures.get(FrontLoads.DESCRIPTORS) > 10, figures.toString());
  }

  @Test
  void connectionsStayOpenAndViewingsPlayAndAreTakenOver() throws Exception {
    Map<String, Double> idle = loads().idle(SIZE);
    assertEquals(SIZE, idle.get(FrontLoads.HELD));
    assertUsed(idle);
    Map<String, Double> playing = loads().playing(SIZE);
    assertEquals(SIZE, playing.get(FrontLoads.ANSWERED));
    assertEquals(SIZE, playing.get(FrontLoads.HELD));
    assertUsed(playing);
    Map<String, Double> reconnects = loads().reconnects(SIZE);
    assertEquals(SIZE, reconnects.get(FrontLoads.ANSWERED));
  }

  @Test
  void eachSetUpIsAnsweredAndEachEndDelivered() throws Exception {
    Map<String, Double> setUps = loads().setUps(SIZE);
    assertEquals(SIZE, setUps.get(FrontLoads.ANSWERED));
    assertUsed(setUps);
    assertEquals(SIZE, loads().deliveries(SIZE).get(FrontLoads.ANSWERED));
  }

  @Test
  void killedRigLeavesNoFrontAndPartialResult() throws Exception {
    // given: a rig in a process of its own that measures a front
    Path deploy = folder.resolve("deploy/balancer.toml");
    Files.createDirectories(deploy.getParent());
    Files.writeString(deploy, "run = \"" + runLine() + "\"\n");
    Path out = folder.resolve("result.json");
    Process rig = rig(deploy, out);
    try {
      ProcessHandle front = awaitFront(rig);
      // when
      rig.destroyForcibly().waitFor();
      // then
      front.onExit().get(20, TimeUnit.SECONDS);
      assertEquals(Completeness.PARTIAL, ScaleResultFile.read(out).completeness());
    } finally {
      rig.destroyForcibly().waitFor();
    }
  }

  private Process rig(Path deploy, Path out) throws IOException {
    return new ProcessBuilder(
            java(),
            "-Xmx256m",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "scale",
            "fronts",
            "--load",
            "connections",
            "--sizes",
            "5",
            "--seconds",
            "60",
            "--deploy",
            deploy.toString(),
            "--out",
            out.toString())
        .redirectErrorStream(true)
        .redirectOutput(folder.resolve("rig.log").toFile())
        .start();
  }

  /** Waits for the front started by the rig, which is recognized by its java command. */
  private ProcessHandle awaitFront(Process rig) throws Exception {
    for (int i = 0; i < 1000; i++) {
      Optional<ProcessHandle> front =
          rig.descendants().filter(p -> p.info().command().orElse("").endsWith("java")).findFirst();
      if (front.isPresent()) {
        return front.get();
      }
      Thread.sleep(20);
    }
    throw new AssertionError("no front: " + Files.readString(folder.resolve("rig.log")));
  }
}
