package linengauge.site;

/** One thing that is wrong with a site file; the line is 0 where the parser could not tell it. */
public record SiteFault(String file, String path, int line, String what) {
  @Override
  public String toString() {
    return file + (line > 0 ? ":" + line : "") + ": " + (path.isEmpty() ? "" : path + ": ") + what;
  }
}
