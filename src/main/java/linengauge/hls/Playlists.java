package linengauge.hls;

import io.lindstrom.m3u8.parser.MasterPlaylistParser;
import io.lindstrom.m3u8.parser.MediaPlaylistParser;
import io.lindstrom.m3u8.parser.ParsingMode;
import io.lindstrom.m3u8.parser.PlaylistParserException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Rewrites a box's playlists for one viewing (RFC 8216). The library parses them, so that malformed
 * ones are rejected, but the rewriting goes line by line: a parsed playlist has lost the tags that
 * the library does not know, and those have to be preserved for clients (section 6.3.1 leaves it to
 * clients to ignore them).
 */
public final class Playlists {
  private static final MasterPlaylistParser MULTIVARIANT =
      new MasterPlaylistParser(ParsingMode.LENIENT);
  private static final MediaPlaylistParser MEDIA = new MediaPlaylistParser(ParsingMode.LENIENT);

  /** Tags of a media playlist with a URI attribute (sections 4.3.2.4, 4.3.2.5). */
  private static final Set<String> TAGS_WITH_URI =
      Set.of(
          "#EXT-X-KEY",
          "#EXT-X-MAP",
          "#EXT-X-SESSION-KEY",
          "#EXT-X-PART",
          "#EXT-X-PRELOAD-HINT",
          "#EXT-X-RENDITION-REPORT");

  private Playlists() {}

  /**
   * Reduces a multivariant playlist to the variant of one rung and the renditions of its groups.
   * Rungs are counted by rising BANDWIDTH (section 4.3.4.2); if the box has fewer variants, the
   * highest is used.
   *
   * @param variantUri the URI to write for the variant
   * @param rewriter maps a URI of the playlist to its path under this viewing
   */
  public static String multivariant(
      byte[] playlist, int rung, String variantUri, UnaryOperator<String> rewriter)
      throws MalformedPlaylistException {
    String text = decode(playlist);
    try {
      MULTIVARIANT.readPlaylist(text);
    } catch (PlaylistParserException | RuntimeException e) {
      throw new MalformedPlaylistException(0, "not a multivariant playlist: " + e.getMessage());
    }
    List<String> lines = text.lines().toList();
    Variant selected = selectVariant(lines, rung);
    Set<String> groups = new HashSet<>();
    for (String type : List.of("AUDIO", "VIDEO", "SUBTITLES", "CLOSED-CAPTIONS")) {
      groups.add(type + "/" + Attributes.quoted(selected.attributes, type));
    }
    StringBuilder rewritten = new StringBuilder();
    int i = 0;
    while (i < lines.size()) {
      String line = lines.get(i);
      String tag = tagOf(line);
      int lastLine = i; // last line that belongs to this tag
      if (tag.equals("#EXT-X-STREAM-INF")) {
        lastLine = uriLineAfter(lines, i);
        if (i == selected.line) {
          rewritten.append(line).append('\n').append(variantUri).append('\n');
        }
      } else if (tag.equals("#EXT-X-MEDIA")) {
        Map<String, String> attributes = Attributes.read(i + 1, line.substring(tag.length() + 1));
        if (groups.contains(
            attributes.get("TYPE") + "/" + Attributes.quoted(attributes, "GROUP-ID"))) {
          rewritten.append(rewriteUri(i + 1, line, tag, rewriter)).append('\n');
        }
      } else if (tag.equals("#EXT-X-SESSION-KEY") || tag.equals("#EXT-X-SESSION-DATA")) {
        rewritten.append(rewriteUri(i + 1, line, tag, rewriter)).append('\n');
      } else if (!tag.equals("#EXT-X-I-FRAME-STREAM-INF")) {
        // I-frame variants are left out, since they would bypass the front's choice of rung.
        rewritten.append(line).append('\n');
      }
      i = lastLine + 1;
    }
    return rewritten.toString();
  }

  /** Rewrites every URI of a media playlist to a path under this viewing; all else is kept. */
  public static String media(byte[] playlist, UnaryOperator<String> rewriter)
      throws MalformedPlaylistException {
    String text = decode(playlist);
    try {
      MEDIA.readPlaylist(text);
    } catch (PlaylistParserException | RuntimeException e) {
      throw new MalformedPlaylistException(0, "not a media playlist: " + e.getMessage());
    }
    StringBuilder rewritten = new StringBuilder();
    boolean hasTargetDuration = false;
    int lineNumber = 0;
    for (String line : text.lines().toList()) {
      lineNumber++;
      String tag = tagOf(line);
      hasTargetDuration |= tag.equals("#EXT-X-TARGETDURATION");
      if (TAGS_WITH_URI.contains(tag)) {
        rewritten.append(rewriteUri(lineNumber, line, tag, rewriter));
      } else if (line.isBlank() || line.startsWith("#")) {
        rewritten.append(line);
      } else {
        rewritten.append(rewriter.apply(line.strip()));
      }
      rewritten.append('\n');
    }
    if (!hasTargetDuration) {
      throw new MalformedPlaylistException(0, "not a media playlist: no EXT-X-TARGETDURATION");
    }
    return rewritten.toString();
  }

  private record Variant(int line, long bandwidth, Map<String, String> attributes) {}

  private static Variant selectVariant(List<String> lines, int rung)
      throws MalformedPlaylistException {
    List<Variant> variants = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i);
      if (tagOf(line).equals("#EXT-X-STREAM-INF")) {
        Map<String, String> attributes =
            Attributes.read(i + 1, line.substring("#EXT-X-STREAM-INF:".length()));
        try {
          variants.add(
              new Variant(i, Long.parseLong(attributes.getOrDefault("BANDWIDTH", "")), attributes));
        } catch (NumberFormatException e) {
          throw new MalformedPlaylistException(i + 1, "a variant has no BANDWIDTH");
        }
        uriLineAfter(lines, i);
      }
    }
    if (variants.isEmpty()) {
      throw new MalformedPlaylistException(0, "no variant is named");
    }
    variants.sort((first, second) -> Long.compare(first.bandwidth, second.bandwidth));
    return variants.get(Math.max(0, Math.min(rung, variants.size() - 1)));
  }

  private static int uriLineAfter(List<String> lines, int tagLine)
      throws MalformedPlaylistException {
    for (int i = tagLine + 1; i < lines.size(); i++) {
      if (!lines.get(i).isBlank() && !lines.get(i).startsWith("#")) {
        return i;
      }
      if (lines.get(i).startsWith("#EXT-X-STREAM-INF")) {
        break;
      }
    }
    throw new MalformedPlaylistException(tagLine + 1, "a variant has no address");
  }

  private static String rewriteUri(
      int lineNumber, String line, String tag, UnaryOperator<String> rewriter)
      throws MalformedPlaylistException {
    if (line.length() <= tag.length()) {
      return line;
    }
    Map<String, String> attributes = Attributes.read(lineNumber, line.substring(tag.length() + 1));
    String uri = Attributes.quoted(attributes, "URI");
    if (uri == null) {
      return line;
    }
    attributes.put("URI", "\"" + rewriter.apply(uri) + "\"");
    return tag + ":" + Attributes.write(attributes);
  }

  private static String tagOf(String line) {
    if (!line.startsWith("#EXT")) {
      return "";
    }
    int colon = line.indexOf(':');
    return (colon < 0 ? line : line.substring(0, colon)).strip();
  }

  /** Decodes a playlist: UTF-8 without a byte order mark, beginning with EXTM3U (section 4.1). */
  private static String decode(byte[] playlist) throws MalformedPlaylistException {
    String text;
    try {
      text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(playlist)).toString();
    } catch (CharacterCodingException e) {
      throw new MalformedPlaylistException(0, "not UTF-8");
    }
    if (!text.startsWith("#EXTM3U") || text.length() > 7 && " \r\n\t".indexOf(text.charAt(7)) < 0) {
      throw new MalformedPlaylistException(1, "does not start with #EXTM3U");
    }
    return text;
  }
}
