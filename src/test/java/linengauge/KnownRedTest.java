package linengauge;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.opentest4j.TestAbortedException;

class KnownRedTest {
  private static final String LISTED =
      "linengauge.KnownRedTest#theListOfTheProjectNamesTestsThatAreThere";
  @TempDir private Path dir;

  @Test
  void theListOfTheProjectNamesTestsThatAreThere() {
    KnownRed.read(KnownRed.FILE).forEach(KnownRed::checkKnown);
  }

  private List<KnownRed.Entry> list(String... lines) throws Exception {
    return KnownRed.read(Files.write(dir.resolve("list"), List.of(lines)));
  }

  @Test
  void noFileIsNoException() {
    assertEquals(List.of(), KnownRed.read(dir.resolve("none")));
  }

  @Test
  void aListOfMoreThanThreeOrOfAnotherFormIsRefused() throws Exception {
    String line = LISTED + " | it is so | issue 30";
    assertEquals(new KnownRed.Entry(LISTED, "it is so", "issue 30"), list(line).get(0));
    assertEquals(3, list(line, line, line, "").size());
    assertThrows(IllegalStateException.class, () -> list(line, line, line, line));
    assertThrows(IllegalStateException.class, () -> list(LISTED + " | no issue"));
    assertThrows(IllegalStateException.class, () -> list("a test in words | cause | issue"));
  }

  @Test
  void aTestThatIsNotThereIsRefused() throws Exception {
    assertDoesNotThrow(() -> list(LISTED + " | c | i").forEach(KnownRed::checkKnown));
    assertThrows(
        IllegalStateException.class,
        () -> list("linengauge.KnownRedTest#none | c | i").forEach(KnownRed::checkKnown));
    assertThrows(
        IllegalStateException.class,
        () -> list("linengauge.NoTest#none | c | i").forEach(KnownRed::checkKnown));
  }

  @Test
  void aListedTestIsLetFailAndOneThatPassesFailsItsClass() throws Exception {
    var outcomes = new KnownRed.Outcomes(list(LISTED + " | c | i"));
    AssertionError fault = new AssertionError("the fault");
    var aborted =
        assertThrows(
            TestAbortedException.class,
            () ->
                KnownRed.run(
                    outcomes,
                    LISTED,
                    () -> {
                      throw fault;
                    }));
    assertSame(fault, aborted.getCause());
    assertDoesNotThrow(() -> KnownRed.run(outcomes, LISTED, () -> null));
    assertDoesNotThrow(
        () -> outcomes.checkClass("linengauge.KnownRedTest"), "one of its invocations failed");
    var mended = new KnownRed.Outcomes(list(LISTED + " | c | i"));
    assertDoesNotThrow(() -> KnownRed.run(mended, LISTED, () -> null));
    assertThrows(AssertionError.class, () -> mended.checkClass("linengauge.KnownRedTest"));
    assertDoesNotThrow(() -> mended.checkClass("linengauge.OtherTest"));
  }

  /** Guards against a fault that shows in some runs alone failing the build in the others. */
  @Test
  void anIntermittentOneIsLetFailAndLetPass() throws Exception {
    var outcomes = new KnownRed.Outcomes(list(LISTED + " | intermittent: seen once | i"));
    assertDoesNotThrow(() -> KnownRed.run(outcomes, LISTED, () -> null));
    assertDoesNotThrow(() -> outcomes.checkClass("linengauge.KnownRedTest"));
    assertThrows(
        TestAbortedException.class,
        () ->
            KnownRed.run(
                outcomes,
                LISTED,
                () -> {
                  throw new AssertionError("the fault");
                }));
  }

  @Test
  void aTestThatIsNotListedFailsAsEver() throws Exception {
    var outcomes = new KnownRed.Outcomes(List.of());
    assertThrows(
        AssertionError.class,
        () ->
            KnownRed.run(
                outcomes,
                LISTED,
                () -> {
                  throw new AssertionError("a fault");
                }));
  }
}
