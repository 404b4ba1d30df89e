package linengauge.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Short and dense runs of real processes under faults. For more of them: `mvn test -Dtest=SoakTest
 * -Dsoak.first=1 -Dsoak.last=50`; `-Dsoak.keep=FOLDER` keeps the logs and the script of each run.
 */
@Timeout(120)
class SoakTest {
  private static final String KEEP = System.getProperty("soak.keep");
  @TempDir private Path temporary;

  static LongStream seeds() {
    return LongStream.rangeClosed(Long.getLong("soak.first", 1), Long.getLong("soak.last", 3));
  }

  /** Guards against any operators' rule that breaks under several faults at once. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noRuleIsBrokenUnderManyFaults(long seed) throws Exception {
    Path folder = KEEP == null ? temporary : Path.of(KEEP, "seed-" + seed);
    Files.createDirectories(folder);
    try (SoakDay day = new SoakDay(seed, folder)) {
      List<String> violations = day.run();
      Files.write(folder.resolve("broken"), violations);
      System.out.println(
          "soak seed " + seed + ": " + violations.size() + " broken; " + day.summary());
      assertEquals(List.of(), violations, "seed " + seed);
    }
  }
}
