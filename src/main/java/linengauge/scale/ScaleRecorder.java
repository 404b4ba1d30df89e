package linengauge.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import linengauge.scale.ScaleResult.Completeness;

/**
 * Keeps a result file up to date while a command measures: marked partial from its first moment, so
 * that a run which is stopped at any time leaves a file that says so.
 */
public final class ScaleRecorder {
  private final Path file;
  private final ScaleResult heading;
  private final List<Measurement> measurements = new ArrayList<>();

  /** Begins the file, with no measurement yet. */
  public ScaleRecorder(Path file, ScaleResult heading) throws IOException {
    this.file = file;
    this.heading = heading;
    save(Completeness.PARTIAL);
  }

  /** Adds what was measured at one size. */
  public void add(List<Measurement> measured) throws IOException {
    measurements.addAll(measured);
    save(Completeness.PARTIAL);
  }

  /** Marks the result complete. */
  public ScaleResult complete() throws IOException {
    return save(Completeness.COMPLETE);
  }

  private ScaleResult save(Completeness reached) throws IOException {
    ScaleResult result = heading.with(reached, measurements);
    ScaleResultFile.write(file, result);
    return result;
  }
}
