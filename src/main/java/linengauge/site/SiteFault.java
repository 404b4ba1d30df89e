package linengauge.site;

/** A fault in a site file; the line is 0 if the parser does not know it. */
public record SiteFault(String file, String path, int line, String what) {
  @Override
  public String toString() {
    return file + (line > 0 ? ":" + line : "") + ": " + (path.isEmpty() ? "" : path + ": ") + what;
  }
}
