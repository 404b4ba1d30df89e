package linengauge.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import linengauge.scale.ScaleResult.Completeness;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against files that are read as something that they do not say. */
class ScaleResultFileTest {
  @TempDir private Path folder;
  private Path file;
  private String whole;

  @BeforeEach
  void write() throws IOException {
    file = folder.resolve("gossip.json");
    ScaleResultFile.write(file, Results.line());
    whole = Files.readString(file);
  }

  private void assertRefused(String text, String why) throws IOException {
    Files.writeString(file, text);
    var refused = assertThrows(BadScaleResult.class, () -> ScaleResultFile.read(file));
    assertTrue(refused.getMessage().startsWith(file + ": "), refused.getMessage());
    assertTrue(refused.getMessage().contains(why), refused.getMessage());
  }

  private String replaced(String old, String text) {
    assertTrue(whole.contains(old), whole);
    return whole.replaceFirst(java.util.regex.Pattern.quote(old), text);
  }

  @Test
  void whatIsWrittenIsRead() throws Exception {
    assertEquals(Results.line(), ScaleResultFile.read(file));
    assertEquals(List.of(Results.line()), ScaleResultFile.readAll(folder));
  }

  @Test
  void anotherVersionIsRefusedByName() throws Exception {
    assertRefused(replaced("\"version\" : 1", "\"version\" : 2"), "version 2");
    assertRefused(replaced("\"version\" : 1", "\"version\" : \"1\""), "no version");
    assertRefused("{}", "no version");
  }

  @Test
  void damagedFilesAreRefusedByName() throws Exception {
    assertRefused("", "no version");
    assertRefused(whole.substring(0, whole.length() / 2), "damaged");
    assertRefused(whole + "{}", "damaged");
    assertRefused(replaced("\"sizeUnit\"", "\"topic\""), "damaged");
    assertRefused(replaced("\"MEAN\"", "\"MEDIAN\""), "damaged");
    assertRefused(replaced("\"runs\" : 2", "\"runs\" : null"), "damaged");
    assertRefused(replaced("[ 120.0, 120.0 ]", "[ ]"), "damaged");
    assertRefused(replaced("[ 120.0, 120.0 ]", "[ \"NaN\" ]"), "damaged");
    assertRefused(replaced("\"size\" : 60", "\"size\" : 0"), "damaged");
  }

  @Test
  void oneDamagedFileOfAFolderIsNamed() throws Exception {
    Path other = folder.resolve("other.json");
    Files.writeString(other, "{");
    var refused = assertThrows(BadScaleResult.class, () -> ScaleResultFile.readAll(folder));
    assertTrue(refused.getMessage().startsWith(other.toString()), refused.getMessage());
  }

  @Test
  void aRecorderLeavesAPartialFileUntilItIsComplete() throws Exception {
    // given
    Path recorded = folder.resolve("recorded.json");
    var recorder =
        new ScaleRecorder(recorded, Results.line().with(Completeness.PARTIAL, List.of()));
    assertEquals(Completeness.PARTIAL, ScaleResultFile.read(recorded).completeness());
    // when: it was stopped after one size
    recorder.add(List.of(Results.bytes(60, 1)));
    // then
    ScaleResult stopped = ScaleResultFile.read(recorded);
    assertEquals(Completeness.PARTIAL, stopped.completeness());
    assertEquals(List.of(Results.bytes(60, 1)), stopped.measurements());
    // and when it goes on to its end
    recorder.complete();
    assertEquals(Completeness.COMPLETE, ScaleResultFile.read(recorded).completeness());
    try (Stream<Path> left = Files.list(folder)) {
      assertEquals(2, left.count(), "no unfinished file is left");
    }
  }
}
