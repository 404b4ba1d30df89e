package linengauge.hls;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.regex.Pattern;

/**
 * Addresses in a box's playlist as paths under a viewing and back. A path of letters, digits, dots,
 * dashes and slashes stands as it is, so that people can read it; anything else is carried in
 * base64url. What leaves the box (another host, a path that climbs) is refused: a front relays its
 * boxes and nothing else.
 */
public final class Paths {
  private static final int MAX_PATH_CHARS = 1024;
  private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9._/-]+");

  private Paths() {}

  /**
   * The path under which a front serves what a playlist calls `uri`; `base` is where the playlist
   * itself lies.
   */
  public static String under(String viewing, String base, String uri) {
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
   * What a path's rest after /v/{id}/ names at the box, relative to the viewing there; null:
   * nothing that it may.
   */
  public static String at(String encodedPath) {
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
   * A relative reference (RFC 3986, section 5.2) against a base, both within the viewing; null
   * where it leaves it.
   */
  private static String resolve(String base, String uri) {
    if (isPlain(uri) && base.length() + uri.length() < MAX_PATH_CHARS) {
      return base + uri; // what nearly all are: nothing to resolve
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
