package linengauge.scale;

import java.util.List;

/** What the command line prints of results. */
public final class ScaleTables {
  private ScaleTables() {}

  /** All models through each figure, with residuals, and what holds at the target. */
  public static String fits(List<ScaleResult> results) {
    return FitTable.details(results);
  }
}
