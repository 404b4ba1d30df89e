package linengauge.standin;

/** The playlists with which a stand-in box answers. */
final class StandInPlaylists {
  private static final int SEGMENTS = 600;

  private StandInPlaylists() {}

  /** Returns a playlist with one variant for each rung of the ladder. */
  static String multivariant(RunningViewing viewing, MediaRates rates, int rungs) {
    StringBuilder text =
        new StringBuilder("#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-INDEPENDENT-SEGMENTS\n");
    for (int rung = 0; rung < rungs; rung++) {
      double kb = rates.rate(viewing.title(), viewing.packageName(), rung);
      text.append("#EXT-X-STREAM-INF:BANDWIDTH=")
          .append(Math.round(8000 * kb))
          .append(",CODECS=\"avc1.4d401e,mp4a.40.2\"\nrung")
          .append(rung)
          .append("/media.m3u8\n");
    }
    return text.toString();
  }

  static String media() {
    StringBuilder text =
        new StringBuilder(
            "#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-TARGETDURATION:1\n"
                + "#EXT-X-MEDIA-SEQUENCE:0\n#EXT-X-PLAYLIST-TYPE:VOD\n");
    for (int segment = 0; segment < SEGMENTS; segment++) {
      text.append("#EXTINF:1.0,\nsegments/").append(segment).append(".ts\n");
    }
    return text.append("#EXT-X-ENDLIST\n").toString();
  }

  static String broken() {
    return "<html>not a playlist</html>";
  }
}
