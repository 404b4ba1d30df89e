package linengauge.hls;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.regex.Pattern;

/**
 * Maps URIs in a box's playlist to paths under a viewing and back. A path of letters, digits, dots,
 * dashes, underscores and slashes is kept as it is, for readability; any other is encoded in
 * base64url. References that leave the viewing (another host, a path that climbs out) are rejected,
 * since a front relays its boxes only.
 */
public final class Paths {
  private static final int MAX_PATH_CHARS = 1024;
  private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9._/-]+");

  private Paths() {}

  /**
   * The path under which the front serves the resource that a playlist calls `uri`; `base` is the
   * folder of the playlist.
   */
  public static String viewingPath(String viewing, String base, String uri) {
    String path = resolve(base, uri);
    if (path == null) {
      return "/v/" + viewing + "/refused";
    }
    return PLAIN.matcher(path).matches()
        ? "/v/" + viewing + "/m/" + path
        : "/v/"
            + viewing
            + "/e/"
            + Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(path.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Decodes the part of a path after /v/{id}/ to a path at the box, relative to the viewing there;
   * null if the path is invalid or leaves the viewing.
   */
  public static String boxPath(String encodedPath) {
    if (encodedPath.length() > MAX_PATH_CHARS) {
      return null;
    }
    if (encodedPath.startsWith("m/")) {
      return resolve("", encodedPath.substring(2));
    }
    if (encodedPath.startsWith("e/")) {
      try {
        return resolve(
            "",
            new String(
                Base64.getUrlDecoder().decode(encodedPath.substring(2)), StandardCharsets.UTF_8));
      } catch (IllegalArgumentException e) {
        return null;
      }
    }
    return null;
  }

  /**
   * Resolves a relative reference (RFC 3986, section 5.2) against a base, both within the viewing;
   * null if the result leaves it.
   */
  private static String resolve(String base, String uri) {
    if (isPlain(uri) && base.length() + uri.length() < MAX_PATH_CHARS) {
      return base + uri; // the common case, in which nothing has to be resolved
    }
    try {
      URI reference = new URI(uri);
      if (reference.isAbsolute()
          || reference.getRawAuthority() != null
          || uri.startsWith("/")
          || uri.isEmpty()) {
        return null;
      }
      String path = new URI("/" + base).resolve(reference).normalize().toString();
      return path.startsWith("/..") || path.length() > MAX_PATH_CHARS || path.length() < 2
          ? null
          : path.substring(1);
    } catch (URISyntaxException e) {
      return null;
    }
  }

  private static boolean isPlain(String uri) {
    return PLAIN.matcher(uri).matches()
        && !uri.contains("..")
        && !uri.contains("//")
        && !uri.startsWith("/")
        && !uri.startsWith("./")
        && !uri.contains("/./");
  }
}
